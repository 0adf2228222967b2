/** Options of `check`. */
export interface CheckOptions {
  readonly files: string;
  readonly json?: boolean;
}
