/** Histories of the soak for tests of its checks. */
import {STREAM_EVENTS} from '../../tools/soak/consts.js';
import type {
  Arrival,
  Attempt,
  ConfigChange,
  CrowdPlay,
  EntryEnd,
  EntryStart,
} from '../../tools/soak/history.js';
import {History, RequestKind} from '../../tools/soak/history.js';

export const START_MS = 1_000_000;
export const ENTRY = 'entry-1';

/** Late enough that everything accepted at the start is applied. */
export const LATER_MS = START_MS + 60_000;

export function createAttempt(overrides: Partial<Attempt> = {}): Attempt {
  const {id = 'r1', kind = RequestKind.SAFE, sentMs = LATER_MS} = overrides;
  return {
    id,
    kind,
    entry: ENTRY,
    lifetime: 1,
    keyVersion: 0,
    sentMs,
    endMs: sentMs + 50,
    status: 200,
    text:
      kind === RequestKind.STREAM ? createStreamText(id) : `answer to ${id}`,
    isWhole: true,
    isProven: true,
    ...overrides,
  };
}

export function createArrival(overrides: Partial<Arrival> = {}): Arrival {
  const {atMs = LATER_MS + 5} = overrides;
  return {
    attemptId: 'r1',
    target: 'i-1',
    service: 'desk',
    keyVersion: 0,
    atMs,
    hasRun: true,
    endedMs: atMs + 20,
    ...overrides,
  };
}

/** Creates the end of a process that ended by itself. */
export function createEnd(overrides: Partial<EntryEnd> = {}): EntryEnd {
  return {
    entry: ENTRY,
    lifetime: 1,
    code: 0,
    wasKilled: false,
    hasOverrun: false,
    hasListened: true,
    handledMs: LATER_MS,
    endedMs: LATER_MS + 50,
    ...overrides,
  };
}

/** Creates the start of a process that serves. */
export function createStart(overrides: Partial<EntryStart> = {}): EntryStart {
  return {
    entry: ENTRY,
    lifetime: 1,
    startMs: LATER_MS,
    handledMs: LATER_MS + 100,
    handledAfterCpuMs: 10,
    servedMs: LATER_MS + 1_000,
    processorWaitMs: 0,
    peakMemoryBytes: 100_000_000,
    ...overrides,
  };
}

/** Creates the play of a crowd after which an entry responds to nobody. */
export function createCrowdPlay(overrides: Partial<CrowdPlay> = {}): CrowdPlay {
  return {
    entry: ENTRY,
    lifetime: 1,
    fromMs: LATER_MS,
    toMs: LATER_MS + 2_000,
    isAnswered: false,
    ...overrides,
  };
}

export function createStreamText(id: string, count = STREAM_EVENTS): string {
  const texts = Array.from({length: count}, (_, index) =>
    createEventText(id, index + 1),
  );
  return texts.join('');
}

export function createEventText(id: string, index: number): string {
  return `id: ${index}\ndata: piece ${index} of ${id}\n\n`;
}

/** Creates the history of a run without violations, to which a case adds. */
export function createFaultFreeHistory(): History {
  const history = new History();
  history.calmFromMs = LATER_MS + 100_000;
  for (let i = 0; i < 20; i++) {
    const sentMs = history.calmFromMs + 10 + i;
    history.attempts.push(createAttempt({id: `last-${i}`, sentMs}));
  }
  history.configs.push(createConfigChange(1, START_MS));
  return history;
}

export function createConfigChange(
  version: number,
  ackMs: number,
): ConfigChange {
  const movingTo = version % 2 === 0 ? 'spare' : 'desk';
  return {version, movingTo, sentMs: ackMs - 5, ackMs};
}

/** What breaks one guarantee. */
export interface ViolationCase {
  readonly name: string;
  /** Substring of the guarantee that must be reported as violated. */
  readonly guarantee: string;
  /** Adds what violates the guarantee to the history. */
  readonly add: (history: History) => void;
}
