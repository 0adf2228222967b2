/** Guarantees about the processes of entries, from their start to their end. */
import {
  CROWD_AFTERMATH_MS,
  MEMORY_LIMIT_BYTES,
  SIGNALS_CPU_MS,
  START_TIMEOUT_MS,
} from '../consts.js';
import type {CrowdPlay, EntryEnd, EntryStart, History} from '../history.js';
import {STORE_COMPONENT} from '../history.js';
import {FaultKind} from '../plan.js';
import type {GuaranteeCheck} from './types.js';
import {entryComponent, settingsComponent} from './types.js';

const BYTES_PER_MB = 1_024 * 1_024;

/** Processes exit only when killed or stopped; a stop ends with status 0. */
export const NO_UNEXPECTED_EXITS: GuaranteeCheck = {
  guarantee:
    'no process exits unexpectedly; graceful shutdowns exit with status 0',
  find: ({entryEnds}) =>
    entryEnds
      .filter(({wasKilled, hasOverrun}) => !wasKilled && !hasOverrun)
      .filter((end) => !wasStoppedTooEarly(end))
      .filter(({code, stopMs}) => stopMs === undefined || code !== 0)
      .map(({entry, lifetime, code}) => ({
        id: entry,
        detail: `process ${lifetime} exited with ${code}`,
      })),
};

/** A program handles signals before it loads what it consists of. */
export const EARLY_SIGNALS: GuaranteeCheck = {
  guarantee: 'a program handles signals from its first line on',
  find: ({entryStarts}) =>
    entryStarts
      .filter(({handledAfterCpuMs = 0}) => handledAfterCpuMs > SIGNALS_CPU_MS)
      .map(({entry, handledAfterCpuMs}) => ({
        id: entry,
        detail: `after ${Math.round(handledAfterCpuMs!)} ms of processor time`,
      })),
};

/**
 * An entry accepts callers `START_TIMEOUT_MS` after nothing hinders it, not
 * counting the time in which the machine had no processor for it.
 */
export const TIMELY_STARTS: GuaranteeCheck = {
  guarantee: 'a started entry serves in time',
  find: (history) =>
    history.entryStarts
      .filter((start) => {
        const {servedMs = servingEndMs(history, start)} = start;
        const dueMs = servingDueMs(history, start) + start.processorWaitMs;
        return servedMs > dueMs;
      })
      .map(({entry, lifetime, startMs, servedMs, processorWaitMs}) => {
        const waitedMs = Math.round(processorWaitMs);
        const served =
          servedMs === undefined
            ? 'never served'
            : `served after ${servedMs - startMs} ms, ${waitedMs} without a processor`;
        return {id: entry, detail: `process ${lifetime} ${served}`};
      }),
};

/** A graceful shutdown ends before the site would kill the process. */
export const TIMELY_STOPS: GuaranteeCheck = {
  guarantee: 'a graceful shutdown ends within the grace period',
  find: (history) =>
    history.entryEnds
      .filter(({hasOverrun}) => hasOverrun)
      .filter(({entry, stopMs = 0, endedMs}) =>
        history.isFaultFree([entryComponent(entry)], stopMs, endedMs),
      )
      .map(({entry, lifetime}) => ({
        id: entry,
        detail: `process ${lifetime} had to be killed`,
      })),
};

/**
 * A process that a crowd met responds to ordinary callers afterwards, unless
 * another fault affects it or the soak has ended it.
 */
export const ANSWERED_AFTER_CROWDS: GuaranteeCheck = {
  guarantee: 'an entry responds to ordinary callers after a crowd',
  find: (history) =>
    history.crowds
      .filter(({isAnswered}) => !isAnswered)
      .filter(({entry, fromMs, toMs}) => {
        const dueMs = toMs + CROWD_AFTERMATH_MS;
        return history.isFaultFree([entryComponent(entry)], fromMs, dueMs);
      })
      .filter((crowd) => !wasEndedBySoak(history, crowd))
      .map(({entry, lifetime}) => ({
        id: entry,
        detail: `process ${lifetime} was silent`,
      })),
};

/** No process reaches the resident memory at which the site kills it. */
export const MEMORY_LIMIT: GuaranteeCheck = {
  guarantee: 'no process exceeds the memory limit',
  find: ({entryStarts}) =>
    entryStarts
      .filter(({peakMemoryBytes}) => peakMemoryBytes > MEMORY_LIMIT_BYTES)
      .map(({entry, lifetime, peakMemoryBytes}) => {
        const megabytes = Math.round(peakMemoryBytes / BYTES_PER_MB);
        return {id: entry, detail: `process ${lifetime} took ${megabytes} MB`};
      }),
};

/** No exception leaves the code that should handle it. */
export const NO_FAILED_TASKS: GuaranteeCheck = {
  guarantee: 'no task ends with an exception',
  find: ({taskFailures}) =>
    taskFailures.map(({entry, detail}) => ({id: entry, detail})),
};

/** Processes write nothing but JSON log lines. */
export const JSON_LOGS: GuaranteeCheck = {
  guarantee: 'processes write JSON lines only',
  find: ({strayLines}) => strayLines.map((line) => ({id: 'log', detail: line})),
};

/** Whether the stop came while Node.js itself was starting. */
function wasStoppedTooEarly({stopMs, handledMs = Infinity}: EntryEnd): boolean {
  return stopMs !== undefined && stopMs < handledMs;
}

/** Whether the soak stopped or killed a process while it had to respond. */
function wasEndedBySoak({entryEnds}: History, crowd: CrowdPlay): boolean {
  const dueMs = crowd.toMs + CROWD_AFTERMATH_MS;
  return entryEnds
    .filter(({entry}) => entry === crowd.entry)
    .filter(({lifetime}) => lifetime === crowd.lifetime)
    .filter(({wasKilled, stopMs}) => wasKilled || stopMs !== undefined)
    .some(({stopMs, endedMs}) => (stopMs ?? endedMs) <= dueMs);
}

/** When a process was stopped, ended, or was left at the end of the run. */
function servingEndMs(history: History, start: EntryStart): number {
  const end = history.entryEnds.find(
    ({entry, lifetime}) => entry === start.entry && lifetime === start.lifetime,
  );
  const {stopMs, endedMs = Infinity} = end ?? {};
  return Math.min(stopMs ?? endedMs, history.endMs);
}

/** When a process has to accept callers, after all that held it up. */
function servingDueMs(history: History, {entry, startMs}: EntryStart): number {
  const components = [
    STORE_COMPONENT,
    entryComponent(entry),
    settingsComponent(entry),
  ];
  const hindrances = history.disturbances
    .filter(({part}) => components.includes(part))
    // It lasts until the next process listens.
    .filter(({kind}) => kind !== (FaultKind.ENTRY_KILL as string))
    .filter(({toMs}) => toMs > startMs)
    .sort((a, b) => a.fromMs - b.fromMs);
  let dueMs = startMs + START_TIMEOUT_MS;
  for (const {fromMs, toMs} of hindrances) {
    if (fromMs < dueMs) dueMs = Math.max(dueMs, toMs + START_TIMEOUT_MS);
  }
  return dueMs;
}
