/** What a replay records about the processes of the entries. */

/** How a process of an entry ended. */
export enum EndCause {
  /** Killed by the replay. */
  KILLED = 'killed',
  /** Asked to stop, and ended with status 0 within its grace. */
  STOPPED = 'stopped',
  /** Asked to stop, and still there after its grace. */
  LATE_STOP = 'late_stop',
  /** Ended by a signal that came before it was ready. */
  SIGNAL_AT_START = 'signal_at_start',
  /** Ended by itself. */
  BY_ITSELF = 'by_itself',
}

/** The end of a process. */
export interface ProcessEnd {
  readonly entry: string;
  readonly cause: EndCause;
  readonly code: number | null;
  readonly signal: string | null;
  /** Time from its start, in milliseconds. */
  readonly ageMs: number;
  readonly rssMb: number;
  /** Last signals that the replay sent, with the age at which they came. */
  readonly signals: readonly string[];
  readonly stderr: string;
  readonly lastLines: readonly string[];
}

/** The life of one process. */
export interface ProcessLife {
  readonly entry: string;
  /** Start as a Unix time in milliseconds. */
  readonly startedAtMs: number;
  /** Whether another process of the entry ran before. */
  readonly isRestart: boolean;
  /** Time from its start until it was ready; undefined if it never was. */
  readyMs?: number;
  /** First lines of its log that are about no request. */
  readonly firstLines: string[];
  /** Whether it was not ready `READY_TIMEOUT_MS` after its start. */
  hasFailedToStart: boolean;
  /** Largest resident memory until a second after it was ready, in MB. */
  startPeakMb: number;
  /** Largest resident memory, in MB. */
  peakMb: number;
  /** Time from its start until its memory last reached a new peak. */
  peakAgeMs: number;
}
