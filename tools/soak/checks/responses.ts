/** Guarantees about the responses that callers receive. */
import {createParser} from 'eventsource-parser';

import {
  CALL_DEADLINE_MS,
  DEADLINE_TOLERANCE_MS,
  RECOVERED_SHARE,
  STREAM_DEADLINE_MS,
  STREAM_EVENTS,
} from '../consts.js';
import type {Attempt} from '../history.js';
import {RequestKind} from '../history.js';
import type {GuaranteeCheck} from './types.js';
import {entryComponent, isServed, componentsOf} from './types.js';

/** Statuses that state that a request has not run and will not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

/** Least and greatest final status of HTTP. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

/** Minimum number of requests for the recovery check. */
const MIN_RECOVERY_REQUESTS = 10;

/** A successful response is complete, belongs to its request and is proven. */
export const COMPLETE_RESPONSES: GuaranteeCheck = {
  guarantee: 'each caller receives its own complete response',
  find: (history) =>
    history.attempts
      .filter(({kind}) => kind !== RequestKind.STREAM)
      .filter(isServed)
      .filter(({id, text, isProven}) => !isProven || text !== `answer to ${id}`)
      .map(({id, text}) => ({id, detail: `got ${JSON.stringify(text)}`})),
};

/** Streams have each event exactly once, in order, and end after the last. */
export const COMPLETE_STREAMS: GuaranteeCheck = {
  guarantee:
    'no event of a stream is missing, duplicated or from another request',
  find: (history) =>
    history.attempts
      .filter(({kind, status}) => kind === RequestKind.STREAM && status === 200)
      .flatMap((attempt) => {
        const detail = findStreamError(attempt);
        return detail === undefined ? [] : [{id: attempt.id, detail}];
      }),
};

/** What comes with a status that is none of HTTP is passed on to nobody. */
export const VALID_STATUSES: GuaranteeCheck = {
  guarantee: 'each response has a final status of HTTP',
  find: ({attempts}) =>
    attempts
      .filter(({status = MIN_STATUS}) => {
        return status < MIN_STATUS || status > MAX_STATUS;
      })
      .map(({id, status}) => ({id, detail: `got status ${status}`})),
};

/** Non-idempotent requests run at most once. */
export const AT_MOST_ONCE: GuaranteeCheck = {
  guarantee: 'a non-idempotent request runs at most once',
  find: (history) => {
    const arrivals = history.arrivalsById();
    return history.attempts
      .filter(({kind}) => kind === RequestKind.UNSAFE)
      .flatMap(({id}) => {
        const runs = (arrivals.get(id) ?? []).filter(({hasRun}) => hasRun);
        if (runs.length <= 1) return [];
        const targets = runs.map(({target}) => target).join(', ');
        return [{id, detail: `ran at ${targets}`}];
      });
  },
};

/** A request refused with one of `NOT_RUN_STATUSES` has not run. */
export const REFUSED_NOT_RUN: GuaranteeCheck = {
  guarantee: 'a request refused as not run has not run',
  find: (history) => {
    const arrivals = history.arrivalsById();
    return history.attempts
      .filter(({kind}) => kind === RequestKind.UNSAFE)
      .filter(({status = 0}) => NOT_RUN_STATUSES.includes(status))
      .filter(({id}) => arrivals.get(id)?.some(({hasRun}) => hasRun) === true)
      .map(({id, status}) => ({id, detail: `refused with ${status}, but ran`}));
  },
};

/** Responses meet their deadline; only a fault of the entry excuses delays. */
export const DEADLINES_MET: GuaranteeCheck = {
  guarantee: 'each request has a final response by its deadline',
  find: (history) =>
    history.attempts
      .filter(({kind, sentMs, endMs}) => {
        const limitMs =
          kind === RequestKind.STREAM ? STREAM_DEADLINE_MS : CALL_DEADLINE_MS;
        return endMs - sentMs > limitMs + DEADLINE_TOLERANCE_MS + history.lagMs;
      })
      .filter(({entry, sentMs, endMs}) =>
        history.isFaultFree([entryComponent(entry)], sentMs, endMs),
      )
      .map(({id, sentMs, endMs}) => ({
        id,
        detail: `took ${endMs - sentMs} ms`,
      })),
};

/**
 * A connection ends without a response only because of a fault, an exit of the
 * entry's process or the caller's own abort.
 */
export const ALL_ANSWERED: GuaranteeCheck = {
  guarantee: 'an entry without faults responds to each request',
  find: (history) => {
    const arrivals = history.arrivalsById();
    return history.attempts
      .filter(({status, hungUpMs}) => status === undefined && !hungUpMs)
      .filter((attempt) => {
        const components = componentsOf(
          attempt,
          arrivals.get(attempt.id) ?? [],
        );
        const isFaultFree = history.isFaultFree(
          components,
          attempt.sentMs,
          attempt.endMs,
        );
        return isFaultFree && !processEnded(attempt, history.entryEnds);
      })
      .map(({id, entry}) => ({id, detail: `no response from ${entry}`}));
  },
};

/** A graceful shutdown lets open requests finish. */
export const GRACEFUL_SHUTDOWN: GuaranteeCheck = {
  guarantee: 'a graceful shutdown interrupts no request',
  find: (history) => {
    const arrivals = history.arrivalsById();
    return history.entryEnds.flatMap((end) => {
      const {stopMs} = end;
      if (stopMs === undefined) return [];
      return history.attempts
        .filter(({entry}) => entry === end.entry)
        .filter(({lifetime}) => lifetime === end.lifetime)
        .filter(({endMs}) => endMs >= stopMs)
        .filter(({isWhole, hungUpMs}) => !isWhole && hungUpMs === undefined)
        .filter((attempt) => {
          const ownArrivals = arrivals.get(attempt.id) ?? [];
          const wasAccepted = ownArrivals.length > 0 || attempt.sentMs < stopMs;
          const components = componentsOf(attempt, ownArrivals);
          const {sentMs, endMs} = attempt;
          return wasAccepted && history.isFaultFree(components, sentMs, endMs);
        })
        .map(({id, entry}) => ({
          id,
          detail: `interrupted as ${entry} stopped`,
        }));
    });
  },
};

/** Requests succeed again after all faults. */
export const RECOVERY: GuaranteeCheck = {
  guarantee: 'the service recovers after the faults',
  find: (history) => {
    const lastAttempts = history.attempts.filter(
      ({sentMs, hungUpMs, keyVersion}) =>
        sentMs > history.calmFromMs && !hungUpMs && keyVersion === 0,
    );
    const served = lastAttempts.filter(isServed).length;
    const isEnough = served >= lastAttempts.length * RECOVERED_SHARE;
    if (isEnough && lastAttempts.length >= MIN_RECOVERY_REQUESTS) return [];
    return [
      {id: 'site', detail: `${served} of ${lastAttempts.length} were served`},
    ];
  },
};

/** Describes the first wrong event of a stream; undefined if there is none. */
function findStreamError(attempt: Attempt): string | undefined {
  const events: Array<{id?: string; data: string}> = [];
  const parser = createParser({
    onEvent: ({id, data}) => events.push({id, data}),
  });
  parser.feed(attempt.text);
  for (const [index, {id, data}] of events.entries()) {
    const expected = `piece ${index + 1} of ${attempt.id}`;
    if (id !== String(index + 1) || data !== expected) {
      return `piece ${index + 1} is ${JSON.stringify(data)}, id ${id}`;
    }
  }
  const endedEarly = attempt.isWhole && events.length !== STREAM_EVENTS;
  return endedEarly ? `ended as complete after ${events.length}` : undefined;
}

/** Whether the entry's process that got the request exited during the run. */
function processEnded(
  attempt: Attempt,
  ends: ReadonlyArray<{entry: string; lifetime: number}>,
): boolean {
  const {entry, lifetime} = attempt;
  return ends.some((end) => end.entry === entry && end.lifetime === lifetime);
}
