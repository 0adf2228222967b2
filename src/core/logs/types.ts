/** Additional fields of a log line. */
export interface LogFields {
  readonly [name: string]: string | number | boolean | undefined;
}

/** Writes log lines; each reports one change of state. */
export interface Logger {
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}
