/** Options of `check-platform`. */
export interface CheckPlatformOptions {
  /** File with a process's settings. */
  readonly settings?: string;
  /** File with routes, services, limits and keys. */
  readonly routes?: string;
  readonly json?: boolean;
}
