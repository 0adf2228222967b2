/** Types of outages of data centres. */

/** What is used of the registration of a target. */
export interface StartedTarget {
  readonly dataCentre: string;
  /** Unix time of its start, in milliseconds; undefined if it tells none. */
  readonly startedAtMs?: number;
}

/** An outage of a data centre, as the starts after it show. */
export interface Outage {
  readonly dataCentre: string;
  /** Unix time at which its targets began to start again, in milliseconds. */
  readonly restartedAtMs: number;
}
