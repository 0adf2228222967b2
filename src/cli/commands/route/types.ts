/** Options of `route`. */
export interface RouteOptions {
  /** Base URL of the metrics address of a direct entry. */
  readonly operators: string;
  readonly host: string;
  /** Path and query of the request. */
  readonly path: string;
  readonly account?: string;
  /** Whether the key of a client account is read from the standard input. */
  readonly keyStdin?: boolean;
  readonly priority?: number;
  readonly promptTokens?: number;
  readonly outputTokens?: number;
  /** Parts of the prompt in order, as ID:TOKENS. */
  readonly part?: readonly string[];
  /** Time for which the caller waits, in milliseconds. */
  readonly deadline?: number;
  readonly json?: boolean;
}
