/** Options of `check-platform`. */
export interface CheckPlatformOptions {
  /** File with a process's settings. */
  readonly settings?: string;
  /** File with a configuration. */
  readonly routes?: string;
  readonly json?: boolean;
}
