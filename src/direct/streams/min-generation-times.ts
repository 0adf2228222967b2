/** Estimates the shortest time of a generation for each service. */
import type {CallerRequest} from '../../core/edges/direct-caller.js';
import type {RoutedService} from '../../core/routes/index.js';
import type {GenerationNeed} from '../../core/streams/index.js';
import {MinGenerationTime, toPosition} from '../../core/streams/index.js';

/**
 * Keeps one `MinGenerationTime` for each service, created when first used.
 *
 * @example
 * times.forService('drafts').cannotFinish({need, leftMs});
 */
export class MinGenerationTimes {
  private readonly times = new Map<string, MinGenerationTime>();

  /** The time of a service; undefined if it was not used yet. */
  find(service: string): MinGenerationTime | undefined {
    return this.times.get(service);
  }

  forService(service: string): MinGenerationTime {
    let time = this.times.get(service);
    if (time === undefined) {
      time = new MinGenerationTime();
      this.times.set(service, time);
    }
    return time;
  }
}

/**
 * Returns the size of a requested generation; undefined if the request declares
 * none or the service has no engines.
 *
 * @example
 * const need = toGenerationNeed(req, service);
 */
export function toGenerationNeed(
  req: Pick<CallerRequest, 'generation' | 'lastEventId'>,
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
