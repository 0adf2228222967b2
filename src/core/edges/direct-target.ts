/** Targets that an entry calls directly, without an agent. */
import type {ResultAsync} from 'neverthrow';

import type {ReportedLoad, TargetRecord} from '../targets/index.js';
import type {HeaderField} from './service-driver.js';

/** Why an exchange with a target has no complete response. */
export enum ExchangeFailure {
  /** No byte of the request was written. */
  NOT_SENT = 'not_sent',
  /** The entry held the request back; no byte was written. */
  HELD_BACK = 'held_back',
  /**
   * The target has no free capacity and reports that it did not run the
   * request.
   */
  REJECTED = 'rejected',
  /** Another target has the address now; the request did not run. */
  WRONG_TARGET = 'wrong_target',
  /** The connection broke, or the response is malformed. */
  BROKEN = 'broken',
  /**
   * The response belongs to another request, or does not identify the target.
   */
  MISMATCHED_RESPONSE = 'foreign_answer',
  /** The entry has no memory for the response; the request may have run. */
  NO_MEMORY = 'no_memory',
}

/** Status and headers of a target's response. */
export interface TargetResponseHead {
  readonly status: number;
  /** Headers for the caller, as the target spelled them. */
  readonly headers: readonly HeaderField[];
  /**
   * Whether the length or the framing marks the end of the body; otherwise
   * the end of the connection does.
   */
  readonly isSelfDelimited: boolean;
  /** Load report in the headers; undefined if there is none. */
  readonly load?: ReportedLoad;
}

/** What a target tells of itself in a response, whatever its status. */
export interface TargetNotice {
  /** Whether it leaves and must get no new work. */
  readonly isLeaving: boolean;
  /** Time for which it must get no work from this entry, in milliseconds. */
  readonly backoffMs?: number;
  /**
   * Requests a second that it takes from all entries together; undefined if it
   * names no limit.
   */
  readonly limitPerSecond?: number;
  /** Whether the response shows that the target itself wrote it. */
  readonly isOwnWords: boolean;
}

/** Receives the response to a request. */
export interface ExchangeListener {
  /** Called before the other methods with each response. */
  onNotice(notice: TargetNotice): void;
  onHead(head: TargetResponseHead): void;
  onData(chunk: Uint8Array): void;
  /** The response is complete. */
  onComplete(): void;
  onFailure(failure: ExchangeFailure, detail: string): void;
}

/** A request to a target. */
export interface TargetRequest {
  readonly attemptId: string;
  readonly method: string;
  /** Path and query, as sent by the caller. */
  readonly path: string;
  /** Headers of the caller that are forwarded. */
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** Time remaining for the response, in milliseconds. */
  readonly leftMs: number;
  /** Name of the caller's client account. */
  readonly clientAccount?: string;
  /** 0 to 9; 0 is the most urgent. */
  readonly priority?: number;
  /**
   * Id of the last event that the caller received; the stream resumes after it.
   */
  readonly lastEventId?: string;
  /** Address of the target that stores a copy of the generation's KV cache. */
  readonly copyTo?: string;
  /** Copy of the KV cache from which a lost generation is resumed. */
  readonly copyFrom?: KvCopyReference;
  /** Id of the room that the target reserved for the request. */
  readonly reservation?: string;
}

/** Identifies a copy of the KV cache of a generation. */
export interface KvCopyReference {
  /**
   * Address of the target that holds the copy, if `copyTo` requested it;
   * otherwise, of the target that made it.
   */
  readonly address: string;
  /**
   * Attempt id of the generation, if `copyTo` requested the copy; otherwise, the
   * id returned by `copyKvCache`.
   */
  readonly id: string;
}

/** An exchange in progress. */
export interface Exchange {
  /** Closes the connection, which stops the work at the target. */
  cancel(): void;
  /** Stops reading the response; the target is held back by its connection. */
  pause(): void;
  resume(): void;
}

/** Why a target made no reservation. */
export enum ReserveFailure {
  /** It has no room. */
  FULL = 'full',
  NO_RESPONSE = 'no response',
  /** A connection that was kept gave no response; a new one may work. */
  CONNECTION_LOST = 'connection lost',
  /** It responded as one that makes no reservations. */
  UNSUPPORTED = 'unsupported',
}

/** Sends requests to targets. */
export interface DirectTargets {
  send(options: {
    target: TargetRecord;
    /** Largest number of open connections to the target. */
    maxConnections: number;
    req: TargetRequest;
    listener: ExchangeListener;
  }): Exchange;
  /**
   * Whether `send` would not hold a request back now, because the target has too
   * many of them open or too many bytes of bodies.
   */
  canTake(options: {
    target: TargetRecord;
    maxConnections: number;
    bodyBytes: number;
  }): boolean;
  /**
   * Requests the load report of a target; fails if it does not arrive within
   * `timeoutMs`.
   */
  queryLoad(
    target: TargetRecord,
    timeoutMs: number,
  ): ResultAsync<ReportedLoad, string>;
  /**
   * Probes the health check of a target; returns the id of the target that
   * responds.
   */
  probeHealth(options: {
    target: TargetRecord;
    /** Path of the health check. */
    path: string;
    timeoutMs: number;
  }): ResultAsync<string, string>;
  /**
   * Requests the target that runs a generation to copy its KV cache to another
   * target. Returns the id of the copy; fails if no copy was made.
   */
  copyKvCache(options: {
    source: TargetRecord;
    attemptId: string;
    /** Address of the target that stores the copy. */
    destination: string;
  }): ResultAsync<string, string>;
  /** Deletes a copy that was requested from `source`. */
  freeKvCopy(options: {
    source: TargetRecord;
    id: string;
  }): ResultAsync<void, string>;
  /**
   * Reserves a slot and room in the KV cache of a target; returns the id of the
   * reservation, which one request may use.
   */
  reserve(options: {
    target: TargetRecord;
    tokens: number;
    /** Time after which an unused reservation ends, in milliseconds. */
    lifetimeMs: number;
    timeoutMs: number;
  }): ResultAsync<string, ReserveFailure>;
  /** Frees a reservation that no request has used. */
  releaseReservation(options: {
    target: TargetRecord;
    id: string;
    timeoutMs: number;
  }): ResultAsync<void, string>;
  /**
   * Closes idle connections to a target, and busy ones when they become idle.
   */
  releaseConnections(target: TargetRecord): void;
}
