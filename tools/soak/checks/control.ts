/** Guarantees about configurations, keys and targets. */
import {
  CONFIG_APPLY_MS,
  CANCEL_TIMEOUT_MS,
  DRAIN_NOTICE_MS,
  MAX_OVERLAP_MS,
  RETRY_RATIO,
  RETRY_SLACK,
  RETRY_WINDOW_MS,
  KEY_REVOCATION_MS,
} from '../consts.js';
import type {Arrival, Attempt, History} from '../history.js';
import {RequestKind, STORE_COMPONENT} from '../history.js';
import type {GuaranteeCheck} from './types.js';
import {entryComponent, targetComponent} from './types.js';

/** Statuses for requests that the active configuration does not allow. */
const DENIED_STATUSES = [401, 403, 404];

/** A version revokes the key that was added this many versions before. */
export const KEY_LIFETIME_VERSIONS = 2;

/** Time after a response for which requests may use an older configuration. */
const CONFIG_CHANGE_TOLERANCE_MS = 500;

/** Largest tolerated share of aborted streams whose runs continue. */
const MAX_UNCANCELLED_SHARE = 0.25;

/** Minimum number of aborted streams for checking that share. */
const MIN_CANCELLED = 4;

/** Service of the model servers, which have a separate retry budget. */
const WRITERS = 'writers';

/**
 * No request runs `KEY_REVOCATION_MS` after its key was revoked. Injected faults
 * excuse no violation.
 */
export const REVOKED_KEYS: GuaranteeCheck = {
  guarantee: 'a revoked key is refused in time',
  find: (history) => {
    const attempts = attemptsById(history);
    return history.arrivals.flatMap(({attemptId, keyVersion, hasRun}) => {
      const revocation = findConfigChange(
        history,
        keyVersion + KEY_LIFETIME_VERSIONS,
      );
      const sentMs = attempts.get(attemptId)?.sentMs ?? 0;
      if (!hasRun || keyVersion === 0 || revocation === undefined) return [];
      const lateMs = sentMs - revocation.ackMs - KEY_REVOCATION_MS;
      if (lateMs <= 0) return [];
      return [{id: attemptId, detail: `ran ${lateMs} ms too late`}];
    });
  },
};

/**
 * Entries always accept the permanent key, and accept the key of a version from
 * `CONFIG_APPLY_MS` after the store accepted it until it is revoked.
 */
export const CONFIG_APPLIED: GuaranteeCheck = {
  guarantee: 'an accepted configuration is applied within seconds',
  find: (history) =>
    history.attempts
      .filter(({status = 0}) => DENIED_STATUSES.includes(status))
      .filter((attempt) => {
        const {keyVersion, entry, sentMs, endMs} = attempt;
        if (keyVersion === 0) return true;
        const added = findConfigChange(history, keyVersion);
        const removed = findConfigChange(
          history,
          keyVersion + KEY_LIFETIME_VERSIONS,
        );
        const isValid =
          added !== undefined &&
          sentMs > added.ackMs + CONFIG_APPLY_MS &&
          endMs < (removed?.sentMs ?? Number.POSITIVE_INFINITY);
        const components = [STORE_COMPONENT, entryComponent(entry)];
        return isValid && history.isFaultFree(components, added.ackMs, endMs);
      })
      .map(({id, status, keyVersion}) => ({
        id,
        detail: `status ${status} for key ${keyVersion}`,
      })),
};

/**
 * A process never uses an older configuration than before: once it accepted the
 * key of a version, it rejects no valid key up to that version and accepts none
 * that the version revoked.
 */
export const NO_CONFIG_ROLLBACK: GuaranteeCheck = {
  guarantee: 'a configuration never reverts',
  find: (history) => {
    const ranIds = new Set(
      history.arrivals
        .filter(({hasRun}) => hasRun)
        .map(({attemptId}) => attemptId),
    );
    return history.attempts
      .filter(({keyVersion}) => keyVersion > 0)
      .filter((attempt) => {
        const newestUsed = newestUsedVersion(history, attempt, ranIds);
        const {id, keyVersion, status = 0} = attempt;
        const usesRevokedKey =
          ranIds.has(id) && keyVersion <= newestUsed - KEY_LIFETIME_VERSIONS;
        const removal = findConfigChange(
          history,
          keyVersion + KEY_LIFETIME_VERSIONS,
        );
        const isRevoked =
          removal !== undefined && removal.sentMs < attempt.endMs;
        const rejectsValidKey =
          DENIED_STATUSES.includes(status) &&
          keyVersion <= newestUsed &&
          !isRevoked;
        return usesRevokedKey || rejectsValidKey;
      })
      .map(({id, entry, keyVersion}) => ({
        id,
        detail: `${entry} reverted its configuration at key version ${keyVersion}`,
      }));
  },
};

/** `CONFIG_APPLY_MS` after a route moved, its requests use the new service. */
export const MOVED_ROUTES: GuaranteeCheck = {
  guarantee: 'a moved route is served by its new service',
  find: (history) => {
    const attempts = attemptsById(history);
    return history.arrivals.flatMap(({attemptId, service, atMs}) => {
      const attempt = attempts.get(attemptId);
      if (attempt?.kind !== RequestKind.MOVING) return [];
      const components = [STORE_COMPONENT, entryComponent(attempt.entry)];
      if (
        !history.isFaultFree(components, attempt.sentMs - CONFIG_APPLY_MS, atMs)
      )
        return [];
      const allowed = allowedServices(history, attempt.sentMs, atMs);
      if (allowed.has(service)) return [];
      return [{id: attemptId, detail: `arrived at ${service}`}];
    });
  },
};

/** No request arrives at a target `DRAIN_NOTICE_MS` after it began draining. */
export const DRAINING_TARGETS: GuaranteeCheck = {
  guarantee: 'a draining target gets no new work after a few seconds',
  find: (history) => {
    const attempts = attemptsById(history);
    return history.leavings.flatMap(({target, ackMs}) =>
      history.arrivals
        .filter((arrival) => arrival.target === target)
        .filter(({atMs}) => atMs > ackMs + DRAIN_NOTICE_MS)
        .filter(({attemptId, atMs}) => {
          const {entry = ''} = attempts.get(attemptId) ?? {};
          return history.isFaultFree(
            [STORE_COMPONENT, entryComponent(entry)],
            ackMs,
            atMs,
          );
        })
        .map(({attemptId, atMs}) => ({
          id: attemptId,
          detail: `reached ${target} ${atMs - ackMs} ms after it began draining`,
        })),
    );
  },
};

/**
 * Runs end within `CANCEL_TIMEOUT_MS` after their callers disconnected. A share
 * of `MAX_UNCANCELLED_SHARE` may continue.
 */
export const CANCELLED_RUNS: GuaranteeCheck = {
  guarantee: 'a run ends when its caller disconnects',
  find: (history) => {
    const arrivals = history.arrivalsById();
    const cancelled = history.attempts.flatMap(({id, entry, hungUpMs}) => {
      const run = arrivals.get(id)?.at(-1);
      if (hungUpMs === undefined || run === undefined) return [];
      const components = [entryComponent(entry), targetComponent(run.target)];
      const limitMs = hungUpMs + CANCEL_TIMEOUT_MS;
      if (!history.isFaultFree(components, run.atMs, limitMs)) return [];
      return [{id, isStillRunning: (run.endedMs ?? Infinity) > limitMs}];
    });
    const stillRunning = cancelled.filter(({isStillRunning}) => isStillRunning);
    const isWithinLimit =
      cancelled.length < MIN_CANCELLED ||
      stillRunning.length <= cancelled.length * MAX_UNCANCELLED_SHARE;
    if (isWithinLimit) return [];
    return stillRunning.map(({id}) => ({id, detail: 'its run continued'}));
  },
};

/** A stream resumes at another target only after its previous run has ended. */
export const NO_OVERLAPPING_RUNS: GuaranteeCheck = {
  guarantee: 'two runs of one stream do not overlap',
  find: (history) => {
    const attempts = attemptsById(history);
    return [...history.arrivalsById()].flatMap(([id, arrivals]) => {
      const attempt = attempts.get(id);
      if (attempt?.kind !== RequestKind.STREAM) return [];
      const runs = arrivals.filter(({hasRun}) => hasRun);
      return runs.slice(1).flatMap((next, index) => {
        const previous = runs[index]!;
        const overlapMs = firstEndMs(previous, next) - next.atMs;
        const targets = [previous.target, next.target].map(targetComponent);
        const components = [entryComponent(attempt.entry), ...targets];
        const isFaultFree = history.isFaultFree(
          components,
          previous.atMs,
          next.atMs,
        );
        if (!isFaultFree || overlapMs <= MAX_OVERLAP_MS) return [];
        return [{id, detail: `two runs for ${overlapMs} ms`}];
      });
    });
  },
};

/**
 * Retries in a window are at most `RETRY_RATIO` of the requests (counted by
 * `peakRequestCount`) plus `RETRY_SLACK`. Model servers and plain services are
 * counted separately.
 */
export const RETRY_BUDGET: GuaranteeCheck = {
  guarantee: 'retries stay within their budget',
  find: (history) => {
    const serviceGroups = [
      {service: WRITERS, isOfService: isWriters},
      {service: 'plain services', isOfService: isPlain},
    ];
    return serviceGroups.flatMap(({service, isOfService}) => {
      const retries = retryTimes(history.arrivals.filter(isOfService));
      const sent = history.attempts
        .filter((attempt) => isOfService(serviceOf(attempt)))
        .map(({sentMs}) => sentMs);
      const exceededMs = retries.find((endMs) => {
        const retryCount = countBetween(
          retries,
          endMs - RETRY_WINDOW_MS,
          endMs,
        );
        const peakRequests = peakRequestCount(sent, endMs);
        return retryCount > peakRequests * RETRY_RATIO + RETRY_SLACK;
      });
      if (exceededMs === undefined) return [];
      return [{id: service, detail: `too many retries until ${exceededMs}`}];
    });
  },
};

/** End of the run that ended first. */
function firstEndMs(a: Arrival, b: Arrival): number {
  return Math.min(a.endedMs ?? Infinity, b.endedMs ?? Infinity);
}

function attemptsById(history: History): Map<string, Attempt> {
  return new Map(history.attempts.map((attempt) => [attempt.id, attempt]));
}

function findConfigChange(history: History, version: number) {
  return history.configs.find((config) => config.version === version);
}

/**
 * The newest version whose key the entry's process had accepted before the
 * attempt; 0 if there is none.
 */
function newestUsedVersion(
  history: History,
  attempt: Attempt,
  ranIds: ReadonlySet<string>,
): number {
  const versions = history.attempts
    .filter(({entry}) => entry === attempt.entry)
    .filter(({lifetime}) => lifetime === attempt.lifetime)
    .filter(({id, endMs}) => {
      return (
        ranIds.has(id) && endMs + CONFIG_CHANGE_TOLERANCE_MS < attempt.sentMs
      );
    })
    .map(({keyVersion}) => keyVersion);
  return Math.max(0, ...versions);
}

/** Services that requests of the moved route may use in a period. */
function allowedServices(
  history: History,
  fromMs: number,
  toMs: number,
): Set<string> {
  const {configs} = history;
  const allowed = configs.filter(({sentMs}, index) => {
    const endMs = configs[index + 1]?.ackMs ?? Number.POSITIVE_INFINITY;
    return sentMs <= toMs && endMs + CONFIG_APPLY_MS >= fromMs;
  });
  return new Set(allowed.map(({movingTo}) => movingTo));
}

function isWriters({service}: {service: string}): boolean {
  return service === WRITERS;
}

function isPlain({service}: {service: string}): boolean {
  return service !== WRITERS;
}

/** Service by which a request's retry budget is found. */
function serviceOf({kind}: Attempt): {service: string} {
  return {service: kind === RequestKind.STREAM ? WRITERS : 'desk'};
}

/** Arrival times of all but the first arrival of each request. */
function retryTimes(arrivals: readonly Arrival[]): number[] {
  const arrivedIds = new Set<string>();
  return arrivals
    .filter(({attemptId}) => {
      const isRetry = arrivedIds.has(attemptId);
      arrivedIds.add(attemptId);
      return isRetry;
    })
    .map(({atMs}) => atMs);
}

/**
 * Largest request count of the windows that end at `endMs`, half a window
 * earlier and one window earlier.
 */
function peakRequestCount(sentMs: readonly number[], endMs: number): number {
  const ends = [0, RETRY_WINDOW_MS / 2, RETRY_WINDOW_MS];
  const counts = ends.map((shiftMs) => {
    const lastMs = endMs - shiftMs;
    return countBetween(sentMs, lastMs - RETRY_WINDOW_MS, lastMs);
  });
  return Math.max(...counts);
}

function countBetween(
  times: readonly number[],
  fromMs: number,
  toMs: number,
): number {
  return times.filter((time) => time > fromMs && time <= toMs).length;
}
