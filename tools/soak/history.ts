/** What callers, targets and the operator saw in one run of the soak. */
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
  /** Starts of the entry until then. */
  readonly lifetime: number;
  /** Version of the configuration that brought the key; 0: always there. */
  readonly keyVersion: number;
  readonly sentMs: number;
  readonly endMs: number;
  /** Missing where the connection ended without an answer. */
  readonly status?: number;
  readonly text: string;
  /** Whether the answer ended as its framing says. */
  readonly isWhole: boolean;
  /** Whether the answer bears the proof of a target and the request's id. */
  readonly isProven: boolean;
  /** When the caller gave up by its own choice. */
  readonly hungUpMs?: number;
}

/** A request at a target. */
export interface Arrival {
  readonly attemptId: string;
  readonly target: string;
  readonly service: string;
  readonly keyVersion: number;
  readonly atMs: number;
  readonly hasRun: boolean;
  endedMs?: number;
}

/** A time in which a part of the site was under a fault. */
export interface InjectedFault {
  readonly part: string;
  readonly kind: string;
  readonly fromMs: number;
  toMs: number;
}

/** A configuration, from its sending until the store accepted it. */
export interface ConfigChange {
  readonly version: number;
  readonly movingTo: string;
  readonly sentMs: number;
  ackMs: number;
}

/** A target that was told to leave. */
export interface DrainStart {
  readonly target: string;
  readonly ackMs: number;
}

/** The end of an entry's process. */
export interface EntryEnd {
  readonly entry: string;
  readonly lifetime: number;
  readonly code: number | null;
  readonly wasKilled: boolean;
  /** Whether the process had got as far as serving. */
  readonly hasListened: boolean;
  /** When the planned stop began, if one did. */
  readonly stopMs?: number;
  readonly endedMs: number;
}

/** Part of the site: its store. */
export const STORE_COMPONENT = 'store';

/** Collects what was seen; the checks read it after the run. */
export class History {
  readonly attempts: Attempt[] = [];
  readonly arrivals: Arrival[] = [];
  readonly disturbances: InjectedFault[] = [];
  readonly configs: ConfigChange[] = [];
  readonly leavings: DrainStart[] = [];
  readonly entryEnds: EntryEnd[] = [];
  /** Lines of entries that are no JSON, and what they wrote to stderr. */
  readonly strayLines: string[] = [];
  /** When the last fault ended. */
  calmFromMs = Number.POSITIVE_INFINITY;
  /** Longest time for which the soak's own process was late. */
  lagMs = 0;

  /** Arrivals of each request, by its id. */
  arrivalsById(): Map<string, Arrival[]> {
    const byId = new Map<string, Arrival[]>();
    for (const arrival of this.arrivals) {
      const others = byId.get(arrival.attemptId) ?? [];
      byId.set(arrival.attemptId, [...others, arrival]);
    }
    return byId;
  }

  /** Whether none of the parts was under a fault, nor shortly before. */
  components(parts: readonly string[], fromMs: number, toMs: number): boolean {
    return !this.disturbances.some(
      (fault) =>
        parts.includes(fault.part) &&
        fault.fromMs <= toMs &&
        fault.toMs >= fromMs - FAULT_AFTERMATH_MS,
    );
  }
}
