/** Options of `drain`. */
export interface DrainOptions {
  readonly operators: string;
  readonly wait?: boolean;
  readonly deadline: number;
  readonly json?: boolean;
}
