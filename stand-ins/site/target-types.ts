/** What a stand-in target is told, and what it records. */
import type {IncomingMessage} from 'node:http';

/** A request that a target ran. */
export interface RunRecord {
  readonly attemptId: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether the whole prompt was prefilled, as no KV cache copy was used. */
  readonly hasFullPrefill: boolean;
  /** Arrival on the monotonic clock of the process, in milliseconds. */
  readonly atMs: number;
}

/** Number of events per stream and their timing. */
export interface StreamPace {
  readonly events: number;
  /** Time from the request to the first event, in milliseconds. */
  readonly firstMs: number;
  /** Time between two events, in milliseconds. */
  readonly gapMs: number;
  /** Bytes of comment before each event; none by default. */
  readonly paddingBytes?: number;
  /**
   * Time after which a stream that nobody reads is cut off, in milliseconds;
   * unlimited by default.
   */
  readonly maxUnreadMs?: number;
}

/** Selects the requests that crash the target. */
export interface CrashTrigger {
  /** Text that their bodies contain. */
  readonly marker: string;
  /** Stream events sent before the crash; plain calls send nothing. */
  readonly afterEvents: number;
}

/** A crash of the target by a request. */
export interface CrashRecord {
  readonly attemptId: string;
  readonly body: string;
  /** Time on the monotonic clock of the process, in milliseconds. */
  readonly atMs: number;
}

/** Callbacks for the requests of a target. */
export interface TargetObserver {
  /** A request arrived; `hasRun` is false if it was rejected. */
  onArrived(arrival: {attemptId: string; hasRun: boolean; key: string}): void;
  /** The run of a request ended, for whatever reason. */
  onEnded(attemptId: string): void;
}
