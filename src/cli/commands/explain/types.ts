/** Options of `explain`. */
export interface ExplainOptions {
  readonly json?: boolean;
}
