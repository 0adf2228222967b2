/** Record of the requests, runs, faults and exits of one soak run. */
import {FAULT_AFTERMATH_MS} from './consts.js';

/** Kinds of requests that callers send. */
export enum RequestKind {
  /** Idempotent call. */
  SAFE = 'safe',
  /** Non-idempotent call. */
  UNSAFE = 'unsafe',
  /** Stream of events. */
  STREAM = 'stream',
  /** Idempotent call whose service is changed by configuration changes. */
  MOVING = 'moving',
}

/** One request of a caller; times are Unix milliseconds. */
export interface Attempt {
  readonly id: string;
  readonly kind: RequestKind;
  readonly entry: string;
  /** Identifies the entry's process: how often it had been started. */
  readonly lifetime: number;
  /** Configuration version that added the key; 0 for the permanent key. */
  readonly keyVersion: number;
  readonly sentMs: number;
  readonly endMs: number;
  /** Undefined if the connection ended without a response. */
  readonly status?: number;
  readonly text: string;
  /** Whether the body was complete according to its HTTP framing. */
  readonly isWhole: boolean;
  /** Whether the headers have a `Server-Stamp` and the request's id. */
  readonly isProven: boolean;
  /** When the caller deliberately aborted the request, if it did. */
  readonly hungUpMs?: number;
}

/** The arrival of a request at a target. */
export interface Arrival {
  readonly attemptId: string;
  readonly target: string;
  readonly service: string;
  readonly keyVersion: number;
  readonly atMs: number;
  /** False if the target rejected the request. */
  readonly hasRun: boolean;
  /** When the run ended; undefined if no end was recorded. */
  endedMs?: number;
}

/** The period in which a component was affected by an injected fault. */
export interface InjectedFault {
  /** Name of the component. */
  readonly part: string;
  /** Value of `FaultKind`, `StartFaultKind` or `WireFaultKind`. */
  readonly kind: string;
  readonly fromMs: number;
  /** Infinity until the fault has ended. */
  toMs: number;
}

/** A configuration change, and when it was sent and accepted by the store. */
export interface ConfigChange {
  readonly version: number;
  /** Service that the configuration sets for requests of the kind `MOVING`. */
  readonly movingTo: string;
  readonly sentMs: number;
  /** Infinity until the store has accepted the change. */
  ackMs: number;
}

/** The registration of a target as draining; `ackMs` is when it was stored. */
export interface DrainStart {
  readonly target: string;
  readonly ackMs: number;
}

/** The start of an entry's process, and what was seen of it since. */
export interface EntryStart {
  readonly entry: string;
  readonly lifetime: number;
  readonly startMs: number;
  /** When the program first handled signals, as the soak learned it. */
  handledMs?: number;
  /** Processor time until then, since Node.js itself had started. */
  handledAfterCpuMs?: number;
  /** When the entry first told that it accepts connections. */
  servedMs?: number;
  /** Time until then in which it was ready to run but had no processor. */
  processorWaitMs: number;
  /** Largest resident size. */
  peakMemoryBytes: number;
}

/** The play of a crowd at an entry; see `WireFaultKind.CROWD`. */
export interface CrowdPlay {
  readonly entry: string;
  /** Process of the entry that it met. */
  readonly lifetime: number;
  readonly fromMs: number;
  readonly toMs: number;
  /** Whether an ordinary caller got a response afterwards. */
  readonly isAnswered: boolean;
}

/** A task of an entry that ended with an exception. */
export interface TaskFailure {
  readonly entry: string;
  readonly detail: string;
}

/** The exit of an entry's process. */
export interface EntryEnd {
  readonly entry: string;
  readonly lifetime: number;
  /** Exit status; null if a signal ended the process. */
  readonly code: number | null;
  readonly wasKilled: boolean;
  /** Whether the process had begun to listen. */
  /** Whether it was killed as its graceful shutdown took too long. */
  readonly hasOverrun: boolean;
  readonly hasListened: boolean;
  /** When it first handled signals, as the soak learned it. */
  readonly handledMs?: number;
  /** When a graceful shutdown was requested; undefined if it was not. */
  readonly stopMs?: number;
  readonly endedMs: number;
}

/** Component name of the store. */
export const STORE_COMPONENT = 'store';

/**
 * Events recorded during a run, for the checks after it. Stored as JSON, so its
 * field names are part of the file format.
 *
 * @example
 * history.attempts.push(attempt);
 */
export class History {
  readonly attempts: Attempt[] = [];
  readonly arrivals: Arrival[] = [];
  readonly disturbances: InjectedFault[] = [];
  readonly configs: ConfigChange[] = [];
  readonly leavings: DrainStart[] = [];
  readonly entryStarts: EntryStart[] = [];
  readonly entryEnds: EntryEnd[] = [];
  readonly taskFailures: TaskFailure[] = [];
  readonly crowds: CrowdPlay[] = [];
  /** Log lines of entries that are not JSON, and their stderr output. */
  readonly strayLines: string[] = [];
  /** Time from which requests must succeed; Infinity until all faults ended. */
  calmFromMs = Number.POSITIVE_INFINITY;
  /** End of the run. */
  endMs = Number.POSITIVE_INFINITY;
  /** Longest delay of a timer in the soak's own process, in milliseconds. */
  lagMs = 0;

  /** Arrivals grouped by request id. */
  arrivalsById(): Map<string, Arrival[]> {
    const byId = new Map<string, Arrival[]>();
    for (const arrival of this.arrivals) {
      const previous = byId.get(arrival.attemptId) ?? [];
      byId.set(arrival.attemptId, [...previous, arrival]);
    }
    return byId;
  }

  /**
   * Whether no fault affected the components in a period or in the
   * `FAULT_AFTERMATH_MS` before it.
   */
  isFaultFree(
    components: readonly string[],
    fromMs: number,
    toMs: number,
  ): boolean {
    return !this.disturbances.some(
      (fault) =>
        components.includes(fault.part) &&
        fault.fromMs <= toMs &&
        fault.toMs >= fromMs - FAULT_AFTERMATH_MS,
    );
  }
}
