/** Status of a process, as reported at `/status`. */
export interface ProcessStatus {
  readonly vm: string;
  readonly role: string;
  readonly dataCentre: string;
  /** Whether the process accepts requests. */
  readonly ready: boolean;
  /** Whether the process is shutting down. */
  readonly leaving: boolean;
  /** Version of the active configuration; 0 for none. */
  readonly configVersion: number;
  /** Time since that version was applied, in milliseconds. */
  readonly configAgeMs: number;
}
