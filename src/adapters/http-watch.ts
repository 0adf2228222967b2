/** Watches the platform's object API, which sends a JSON document per line. */
import {Codec, enumeration, number, optional, string, unknown} from 'purify-ts';
import type {Dispatcher} from 'undici';
import {request} from 'undici';

import {decodeValue} from '../core/codec/decode-value.js';
import type {StoreError, WatchEvent, WatchHandle} from '../core/edges/index.js';
import {ObjectKind, StoreErrorKind} from '../core/edges/index.js';
import {decodeUtf8, parseJson, toHttpFailure} from './http-call.js';
import {
  createStatusError,
  createStoreError,
  StoreCall,
  toStoreError,
} from './store-errors.js';

/** Time without data after which a watch is closed as broken, in ms. */
export const WATCH_IDLE_TIMEOUT_MS = 15_000;

const STATUS_OK = 200;

const WATCH_EVENT = Codec.interface({
  kind: enumeration(ObjectKind),
  name: string,
  version: number,
  value: optional(unknown),
});

/** Request and callbacks of a watch. */
export interface HttpWatchOptions {
  readonly dispatcher: Dispatcher;
  readonly url: string;
  /** Timeout for the headers of the response, in milliseconds. */
  readonly timeoutMs: number;
  readonly onEvent: (event: WatchEvent) => void;
  /** Called for all data, also if it contains no event. */
  readonly onAlive?: () => void;
  /** Called once if the watch ends other than by `close`. */
  readonly onClosed: (err: StoreError) => void;
}

/**
 * Reads the events of one watch and passes them to its callbacks.
 *
 * @example
 * const watch = new HttpWatch({dispatcher, url, timeoutMs, onEvent, onClosed});
 * watch.start();
 */
export class HttpWatch implements WatchHandle {
  private readonly abort = new AbortController();
  private incompleteLine = '';
  private isClosed = false;

  constructor(private readonly options: HttpWatchOptions) {}

  /** Sends the request. */
  start(): void {
    this.readEvents().catch((e: unknown) =>
      this.end(toStoreError(StoreCall.READ, toHttpFailure(e))),
    );
  }

  close(): void {
    this.isClosed = true;
    this.abort.abort();
  }

  private async readEvents(): Promise<void> {
    const {dispatcher, url, timeoutMs} = this.options;
    const res = await request(url, {
      dispatcher,
      headersTimeout: timeoutMs,
      bodyTimeout: WATCH_IDLE_TIMEOUT_MS,
      signal: this.abort.signal,
    });
    if (res.statusCode !== STATUS_OK) {
      return this.end(createStatusError(StoreCall.READ, res.statusCode));
    }
    for await (const text of decodeUtf8(res.body)) {
      this.handleText(text);
    }
    this.end(createStoreError(StoreErrorKind.UNAVAILABLE, 'the watch ended'));
  }

  private handleText(text: string): void {
    if (!this.isClosed) this.options.onAlive?.();
    const lines = (this.incompleteLine + text).split('\n');
    this.incompleteLine = lines.pop() ?? '';
    for (const line of lines) {
      if (!this.isClosed && line !== '') this.handleLine(line);
    }
  }

  private handleLine(line: string): void {
    decodeValue(WATCH_EVENT, parseJson(line)).match(
      (event) => this.options.onEvent(event),
      (detail) => this.end(createStoreError(StoreErrorKind.INVALID, detail)),
    );
  }

  private end(err: StoreError): void {
    if (this.isClosed) return;
    this.close();
    this.options.onClosed(err);
  }
}
