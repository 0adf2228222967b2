/** Options of `call`. */
export interface CallOptions {
  /** Base URL of an entry. */
  readonly entry: string;
  /** Bearer key of a client account. */
  readonly key: string;
  readonly service: string;
  readonly method: string;
  /** Path and query below the service. */
  readonly path: string;
  readonly idempotencyKey?: string;
  readonly body?: string;
  /** Time allowed for the call, in milliseconds. */
  readonly deadline: number;
  readonly json?: boolean;
}
