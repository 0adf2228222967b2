/** Options of `call`. */
export interface CallOptions {
  readonly entry: string;
  readonly key: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly idempotencyKey?: string;
  readonly body?: string;
  readonly deadline: number;
  readonly json?: boolean;
}
