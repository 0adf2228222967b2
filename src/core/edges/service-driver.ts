/** The plain service that runs on the same VM as an agent. */
import type {ResultAsync} from 'neverthrow';

import type {DriverError} from './engine-driver.js';

/** One header field. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** A call to a plain service. */
export interface PlainRequest {
  readonly method: string;
  /** Path and query, relative to the root of the service. */
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** The response of a plain service. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** Status reported by a plain service; lags behind its actual state. */
export interface ServiceReport {
  /** Number of requests that are running. */
  readonly running: number;
  /** Number of requests that can run concurrently. */
  readonly capacity: number;
}

/** Calls the plain service that runs on the same VM as the agent. */
export interface ServiceDriver {
  call(options: {
    req: PlainRequest;
    timeoutMs: number;
  }): ResultAsync<PlainResponse, DriverError>;
  probe(options: {timeoutMs: number}): ResultAsync<ServiceReport, DriverError>;
}
