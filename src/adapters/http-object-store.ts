/** HTTP client of the platform's object API. */
import type {Result, ResultAsync} from 'neverthrow';
import {err, errAsync, ok} from 'neverthrow';
import type {Maybe} from 'purify-ts';
import {
  array,
  Codec,
  enumeration,
  Just,
  Nothing,
  number,
  string,
  unknown,
} from 'purify-ts';
import type {Dispatcher} from 'undici';

import {decodeValue} from '../core/codec/decode-value.js';
import type {
  HeaderField,
  ObjectKey,
  ObjectStore,
  StoredObject,
  StoreError,
  WatchEvent,
  WatchHandle,
} from '../core/edges/index.js';
import {ObjectKind, StoreErrorKind} from '../core/edges/index.js';
import type {HttpResponse} from './http-call.js';
import {
  callHttp,
  createPool,
  FIRST_ERROR_STATUS,
  parseJson,
} from './http-call.js';
import {HttpWatch} from './http-watch.js';
import {
  createMalformedError,
  createStatusError,
  createStoreError,
  StoreCall,
  toStoreError,
} from './store-errors.js';

/** Timeout of a call to the store, in milliseconds. */
export const STORE_TIMEOUT_MS = 1_500;

const STORED_OBJECT: Codec<StoredObject> = Codec.interface({
  kind: enumeration(ObjectKind),
  name: string,
  version: number,
  value: unknown,
});

const OBJECT_LIST = Codec.interface({objects: array(STORED_OBJECT)});

interface StoreRequest {
  readonly call: StoreCall;
  readonly method: string;
  readonly path: string;
  readonly headers?: readonly HeaderField[];
  readonly body?: string;
}

/**
 * Client of the platform's object API.
 *
 * @example
 * const store = new HttpObjectStore({baseUrl: 'http://127.0.0.1:9000'});
 */
export class HttpObjectStore implements ObjectStore {
  private readonly baseUrl: string;
  private readonly timeoutMs: number;
  private readonly dispatcher: Dispatcher = createPool({keepsAlive: true});

  constructor(options: {baseUrl: string; timeoutMs?: number}) {
    this.baseUrl = options.baseUrl;
    this.timeoutMs = options.timeoutMs ?? STORE_TIMEOUT_MS;
  }

  create(
    options: ObjectKey & {value: unknown},
  ): ResultAsync<StoredObject, StoreError> {
    const {value, ...key} = options;
    const call = StoreCall.CREATE;
    return this.write(
      {call, method: 'POST', path: buildObjectPath(key)},
      value,
    );
  }

  update(
    options: ObjectKey & {value: unknown; expectedVersion: number},
  ): ResultAsync<StoredObject, StoreError> {
    const {value, expectedVersion, ...key} = options;
    const call = StoreCall.CHANGE;
    const headers = [createIfMatchHeader(expectedVersion)];
    const req = {call, method: 'PUT', path: buildObjectPath(key), headers};
    return this.write(req, value);
  }

  remove(
    options: ObjectKey & {expectedVersion: number},
  ): ResultAsync<void, StoreError> {
    const call = StoreCall.CHANGE;
    const headers = [createIfMatchHeader(options.expectedVersion)];
    const path = buildObjectPath(options);
    return this.send({call, method: 'DELETE', path, headers})
      .andThen((res) => checkStatus(call, res))
      .map(() => undefined);
  }

  read(key: ObjectKey): ResultAsync<Maybe<StoredObject>, StoreError> {
    const call = StoreCall.READ;
    return this.send({call, method: 'GET', path: buildObjectPath(key)}).andThen(
      (res): Result<Maybe<StoredObject>, StoreError> =>
        res.status === 404
          ? ok(Nothing)
          : decodeResponse({call, res, codec: STORED_OBJECT}).map(Just),
    );
  }

  list(options: {
    kind: ObjectKind;
    prefix?: string;
  }): ResultAsync<StoredObject[], StoreError> {
    const call = StoreCall.READ;
    const prefix = encodeURIComponent(options.prefix ?? '');
    const path = `/objects/${options.kind}?prefix=${prefix}`;
    return this.send({call, method: 'GET', path})
      .andThen((res) => decodeResponse({call, res, codec: OBJECT_LIST}))
      .map(({objects}) => objects);
  }

  watch(options: {
    kind: ObjectKind;
    since: number;
    onEvent: (event: WatchEvent) => void;
    onAlive?: () => void;
    onClosed: (err: StoreError) => void;
  }): WatchHandle {
    const {kind, since, onEvent, onAlive, onClosed} = options;
    const url = `${this.baseUrl}/watch/${kind}?since=${since}`;
    const {dispatcher, timeoutMs} = this;
    const watch = new HttpWatch({
      dispatcher,
      url,
      timeoutMs,
      onEvent,
      onAlive,
      onClosed,
    });
    watch.start();
    return watch;
  }

  private write(
    req: StoreRequest,
    value: unknown,
  ): ResultAsync<StoredObject, StoreError> {
    const {call} = req;
    const body = toJson(value);
    if (body.isErr()) return errAsync(body.error);
    return this.send({...req, body: body.value}).andThen((res) =>
      decodeResponse({call, res, codec: STORED_OBJECT}),
    );
  }

  private send(req: StoreRequest): ResultAsync<HttpResponse, StoreError> {
    const {call, method, path, headers = [], body} = req;
    const contentType = {name: 'content-type', value: 'application/json'};
    return callHttp({
      dispatcher: this.dispatcher,
      url: `${this.baseUrl}${path}`,
      method,
      headers: body === undefined ? headers : [...headers, contentType],
      body,
      timeoutMs: this.timeoutMs,
    }).mapErr((failure) => toStoreError(call, failure));
  }
}

function buildObjectPath({kind, name}: ObjectKey): string {
  return `/objects/${kind}/${encodeURIComponent(name)}`;
}

function createIfMatchHeader(version: number): HeaderField {
  return {name: 'if-match', value: `"${version}"`};
}

function toJson(value: unknown): Result<string, StoreError> {
  try {
    const text = JSON.stringify(value) as string | undefined;
    if (text !== undefined) return ok(`{"value":${text}}`);
  } catch (e) {
    const detail = e instanceof Error ? e.message : String(e);
    return err(createStoreError(StoreErrorKind.INVALID, detail));
  }
  return err(createStoreError(StoreErrorKind.INVALID, 'no JSON value'));
}

function checkStatus(
  call: StoreCall,
  res: HttpResponse,
): Result<HttpResponse, StoreError> {
  if (res.status < FIRST_ERROR_STATUS) return ok(res);
  return err(createStatusError(call, res.status));
}

function decodeResponse<T>(options: {
  call: StoreCall;
  res: HttpResponse;
  codec: Codec<T>;
}): Result<T, StoreError> {
  const {call, res, codec} = options;
  return checkStatus(call, res).andThen(({body}) =>
    decodeValue(codec, parseJson(body)).mapErr((detail) =>
      createMalformedError(call, detail),
    ),
  );
}
