/** How long the generations of each service take. */
import type {CallerRequest} from '../../core/edges/direct-caller.js';
import type {RoutedService} from '../../core/routes/index.js';
import type {GenerationSize} from '../../core/streams/index.js';
import {MinGenerationTime, toPosition} from '../../core/streams/index.js';

/**
 * One `StreamTime` for each service.
 *
 * @example
 * times.of('drafts').isHopeless({need, leftMs});
 */
export class StreamDurations {
  private readonly durations = new Map<string, MinGenerationTime>();

  of(service: string): MinGenerationTime {
    let time = this.durations.get(service);
    if (time === undefined) {
      time = new MinGenerationTime();
      this.durations.set(service, time);
    }
    return time;
  }
}

/**
 * What a request for a generation needs; undefined where it does not say.
 *
 * @example
 * const need = needOf(req, service);
 */
export function toGenerationNeed(
  req: CallerRequest,
  service: RoutedService,
): GenerationSize | undefined {
  const {generation, lastEventId} = req;
  const {engine} = service;
  if (generation === undefined || engine === undefined) return undefined;
  return {
    promptTokens: generation.promptTokens,
    maxEvents: generation.maxOutputTokens / engine.tokensPerEvent,
    receivedEvents: toPosition(lastEventId) ?? 0,
  };
}
