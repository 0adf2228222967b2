/** Options of `drain`. */
export interface DrainOptions {
  /** Base URL of the operators address of a process. */
  readonly operators: string;
  /** Whether to wait until the process has stopped. */
  readonly wait?: boolean;
  /** Longest time to wait, in milliseconds. */
  readonly deadline: number;
  readonly json?: boolean;
}
