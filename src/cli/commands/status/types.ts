/** Options of `status`. */
export interface StatusOptions {
  readonly operators: readonly string[];
  readonly json?: boolean;
}
