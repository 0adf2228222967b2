/** Record of the requests, runs, faults and exits of one soak run. */
import {FAULT_AFTERMATH_MS} from './consts.js';

/** Kinds of requests that callers send. */
export enum RequestKind {
  SAFE = 'safe',
  UNSAFE = 'unsafe',
  STREAM = 'stream',
  MOVING = 'moving',
}

/** One request of a caller; times are Unix milliseconds. */
export interface Attempt {
  readonly id: string;
  readonly kind: RequestKind;
  readonly entry: string;
  /** Number of the entry's process starts at that time. */
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
  /** Whether the response has the `Server-Stamp` and the request's id. */
  readonly isProven: boolean;
  /** Time at which the caller deliberately aborted the request. */
  readonly hungUpMs?: number;
}

/** The arrival of a request at a target. */
export interface Arrival {
  readonly attemptId: string;
  readonly target: string;
  readonly service: string;
  readonly keyVersion: number;
  readonly atMs: number;
  readonly hasRun: boolean;
  endedMs?: number;
}

/** The period in which a component was affected by an injected fault. */
export interface InjectedFault {
  readonly part: string;
  readonly kind: string;
  readonly fromMs: number;
  toMs: number;
}

/** A configuration change, and when it was sent and accepted by the store. */
export interface ConfigChange {
  readonly version: number;
  readonly movingTo: string;
  readonly sentMs: number;
  ackMs: number;
}

/** A target registered as draining, and when the store accepted that. */
export interface DrainStart {
  readonly target: string;
  readonly ackMs: number;
}

/** The exit of an entry's process. */
export interface EntryEnd {
  readonly entry: string;
  readonly lifetime: number;
  readonly code: number | null;
  readonly wasKilled: boolean;
  /** Whether the process had begun to listen. */
  readonly hasListened: boolean;
  /** When a graceful shutdown was requested, if it was. */
  readonly stopMs?: number;
  readonly endedMs: number;
}

/** Component name of the store. */
export const STORE_COMPONENT = 'store';

/** Events recorded during a run, for the checks after it. */
export class History {
  readonly attempts: Attempt[] = [];
  readonly arrivals: Arrival[] = [];
  readonly disturbances: InjectedFault[] = [];
  readonly configs: ConfigChange[] = [];
  readonly leavings: DrainStart[] = [];
  readonly entryEnds: EntryEnd[] = [];
  /** Log lines of entries that are not JSON, and their stderr output. */
  readonly strayLines: string[] = [];
  /** Time after the last fault from which on requests must succeed. */
  calmFromMs = Number.POSITIVE_INFINITY;
  /** Longest delay of a timer in the soak's own process. */
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

  /** Whether no fault affected the components in a period or shortly before. */
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
