/** A target that is called without an agent beside it. */
import type {ResultAsync} from 'neverthrow';

import type {ReportedLoad, TargetRecord} from '../targets/index.js';
import type {HeaderField} from './service-driver.js';

/** Why an exchange with a target has no whole answer. */
export enum ExchangeFailure {
  /** Nothing of the request was written. */
  NOT_SENT = 'not_sent',
  /** The target says that it did not run the request: it has no room. */
  REJECTED = 'rejected',
  /** Another target has the address now; the request did not run. */
  WRONG_TARGET = 'wrong_target',
  /** The connection broke, or carried what is no answer. */
  BROKEN = 'broken',
  /** The answer belongs to another request, or is not the target's. */
  MISMATCHED_RESPONSE = 'foreign_answer',
}

/** Status and headers of an answer. */
export interface TargetResponseHead {
  readonly status: number;
  /** Headers for the caller, as the target spelled them. */
  readonly headers: readonly HeaderField[];
  /** Whether the answer tells its own end; else the connection's end is it. */
  readonly isSelfDelimited: boolean;
  readonly load?: ReportedLoad;
}

/** Hears of the answer to a request. */
export interface ExchangeListener {
  onHead(head: TargetResponseHead): void;
  onData(chunk: Uint8Array): void;
  /** The answer is whole. */
  onComplete(): void;
  onFailure(failure: ExchangeFailure, detail: string): void;
}

/** What a target is asked to do. */
export interface TargetRequest {
  readonly attemptId: string;
  readonly method: string;
  /** Path with its query, as the caller wrote it. */
  readonly path: string;
  /** Headers of the caller that are passed on. */
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** Time that is left for the answer, in milliseconds. */
  readonly leftMs: number;
  readonly clientAccount?: string;
  /** 0 to 9; 0 is the most urgent. */
  readonly priority?: number;
  /** The last event that the caller has; the stream goes on after it. */
  readonly lastEventId?: string;
  /** Address of the target that keeps a copy of the run's memory. */
  readonly copyTo?: string;
  /** The copy of a lost run from which this one goes on. */
  readonly copyFrom?: KvCopyReference;
}

/** Names the copy of a run's memory. */
export interface KvCopyReference {
  /** Address of the target that made or holds the copy. */
  readonly address: string;
  /** The id of the run, or of the copy. */
  readonly id: string;
}

/** An exchange under way. */
export interface Exchange {
  /** Drops the connection, which ends the work at the target. */
  cancel(): void;
}

/** Sends requests to targets. */
export interface DirectTargets {
  send(options: {
    target: TargetRecord;
    /** Connections that may be open to the target. */
    maxConnections: number;
    req: TargetRequest;
    listener: ExchangeListener;
  }): Exchange;
  /** Asks a target how it is; an error if it does not say in time. */
  queryLoad(
    target: TargetRecord,
    timeoutMs: number,
  ): ResultAsync<ReportedLoad, string>;
  /** Asks for a target's health; the id of the target that answers. */
  probeHealth(options: {
    target: TargetRecord;
    path: string;
    timeoutMs: number;
  }): ResultAsync<string, string>;
  /**
   * Asks the target that runs a request to copy the run's memory to another
   * target; the id of the copy, or an error if there is none.
   */
  copyKvCache(options: {
    source: TargetRecord;
    attemptId: string;
    /** Address of the target that keeps the copy. */
    destination: string;
  }): ResultAsync<string, string>;
  /** Frees the copy that a target was asked for. */
  freeKvCopy(options: {
    source: TargetRecord;
    id: string;
  }): ResultAsync<void, string>;
  /** Closes the idle connections to a target. */
  releaseConnections(target: TargetRecord): void;
}
