/** What a process tells its operators at `/status`. */
export interface ProcessStatus {
  readonly vm: string;
  readonly role: string;
  readonly dataCentre: string;
  /** Whether it takes requests. */
  readonly ready: boolean;
  /** Whether it is shutting down. */
  readonly leaving: boolean;
  /** Version of the configuration in force; 0 for none. */
  readonly configVersion: number;
  /** Time since that version came into force, in milliseconds. */
  readonly configAgeMs: number;
}
