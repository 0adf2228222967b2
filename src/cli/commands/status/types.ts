/** Options of `status`. */
export interface StatusOptions {
  /** Base URLs of the operators addresses of processes. */
  readonly operators: readonly string[];
  readonly json?: boolean;
}
