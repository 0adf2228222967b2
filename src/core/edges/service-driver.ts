import type {ResultAsync} from 'neverthrow';

import type {DriverError} from './engine-driver.js';

/** One header line. */
export interface HeaderField {
  readonly name: string;
  readonly value: string;
}

/** A call to a plain service. */
export interface PlainRequest {
  readonly method: string;
  /** Path and query below the service's root. */
  readonly path: string;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** The answer of a plain service. */
export interface PlainResponse {
  readonly status: number;
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
}

/** What a plain service reports of itself, with a lag. */
export interface ServiceReport {
  readonly running: number;
  readonly capacity: number;
}

/** Speaks to the one plain service beside the agent. */
export interface ServiceDriver {
  call(options: {
    req: PlainRequest;
    timeoutMs: number;
  }): ResultAsync<PlainResponse, DriverError>;
  probe(options: {timeoutMs: number}): ResultAsync<ServiceReport, DriverError>;
}
