/** Estimated durations of generations, by service. */
import type {CallerRequest} from '../../core/edges/direct-caller.js';
import type {RoutedService} from '../../core/routes/index.js';
import type {GenerationNeed} from '../../core/streams/index.js';
import {MinGenerationTime, toPosition} from '../../core/streams/index.js';

/**
 * One `MinGenerationTime` for each service.
 *
 * @example
 * durations.of('drafts').cannotFinish({need, leftMs});
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
 * Tokens and events of a requested generation; undefined if the request is not
 * for a generation or the service is not an engine.
 *
 * @example
 * const need = toGenerationNeed(req, service);
 */
export function toGenerationNeed(
  req: CallerRequest,
  service: RoutedService,
): GenerationNeed | undefined {
  const {generation, lastEventId} = req;
  const {engine} = service;
  if (generation === undefined || engine === undefined) return undefined;
  return {
    promptTokens: generation.promptTokens,
    maxEvents: generation.maxOutputTokens / engine.tokensPerEvent,
    receivedEvents: toPosition(lastEventId) ?? 0,
  };
}
