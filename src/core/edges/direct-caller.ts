/** Callers of an entry that calls its targets directly. */
import type {RefusalReason} from '../errors/refusals.js';
import type {HeaderField} from './service-driver.js';

/** What a caller says of a generation. */
export interface GenerationSize {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}

/** A request whose body was read in full. */
export interface CallerRequest {
  /** Identifies this try; a caller's retry has another. */
  readonly attemptId: string;
  readonly method: string;
  readonly host: string;
  /** Path with its query, as written. */
  readonly path: string;
  /** Headers to pass on, as written. */
  readonly headers: readonly HeaderField[];
  readonly body: Uint8Array;
  /** Time for which the caller waits, from `receivedMs` on. */
  readonly deadlineMs?: number;
  /** When the head of the request was read, on the process's clock. */
  readonly receivedMs: number;
  readonly key?: string;
  readonly generation?: GenerationSize;
  /** The last event that the caller has of an earlier try. */
  readonly lastEventId?: string;
}

/** Status and headers towards a caller. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly HeaderField[];
}

/** A refusal or failure, in the entry's own name. */
export interface RefusalResponse {
  readonly status: number;
  readonly reason: RefusalReason;
  /** When to come back, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Where the answer to a request goes. */
export interface CallerResponse {
  /** Whether the caller has gone or the answer has ended. */
  readonly isClosed: boolean;
  /** Sends a whole answer. */
  sendComplete(head: ResponseHead, body: Uint8Array): void;
  /** Sends an answer that ends with its connection, as its target did. */
  sendCloseDelimited(head: ResponseHead, body: Uint8Array): void;
  /** Sends an answer of the entry's own. */
  sendRefusal(answer: RefusalResponse): void;
  /** Opens an answer whose body follows in parts. */
  writeHead(head: ResponseHead): void;
  write(chunk: Uint8Array): void;
  end(): void;
  /** Breaks the answer off, so that it cannot pass for a whole one. */
  abort(): void;
  /** Runs once if the caller goes before the answer has ended. */
  onDisconnect(listener: () => void): void;
}
