/** Options of `diff`. */
export interface DiffOptions {
  readonly files: string;
  readonly platform: string;
  readonly json?: boolean;
}
