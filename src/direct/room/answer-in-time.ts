/** Bounds how long a stream waits for the answer to a reservation. */
import type {Result, ResultAsync} from 'neverthrow';
import {err} from 'neverthrow';

import type {Clock} from '../../core/clock/index.js';
import {ReserveFailure} from '../../core/edges/direct-target.js';

/**
 * Resolves with the answer of an engine, or without one after `timeoutMs`. An id
 * that arrives later is given to `onLateGrant`: the engine keeps that room.
 *
 * @example
 * const reserved = await answerInTime({clock, answer, timeoutMs: 120, onLateGrant});
 */
export function answerInTime(options: {
  clock: Clock;
  answer: ResultAsync<string, ReserveFailure>;
  timeoutMs: number;
  onLateGrant: (id: string) => void;
}): Promise<Result<string, ReserveFailure>> {
  const {clock, answer, timeoutMs, onLateGrant} = options;
  let isLate = false;
  return new Promise((resolve, reject) => {
    const giveUp = () => {
      isLate = true;
      resolve(err(ReserveFailure.NO_RESPONSE));
    };
    const timer = clock.schedule({delayMs: timeoutMs, run: giveUp});
    const settle = (reserved: Result<string, ReserveFailure>) => {
      timer.cancel();
      if (!isLate) resolve(reserved);
      else if (reserved.isOk()) onLateGrant(reserved.value);
    };
    answer.then(settle).then(undefined, reject);
  });
}
