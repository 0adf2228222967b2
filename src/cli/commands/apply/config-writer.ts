import {isDeepStrictEqual} from 'node:util';

import {err, ok, type Result} from 'neverthrow';
import {Nothing} from 'purify-ts';

import type {Clock, RandomSource} from '../../../core/clock/index.js';
import {sleep} from '../../../core/clock/index.js';
import type {StoredConfig} from '../../../core/config/index.js';
import {CONFIG_OBJECT, parseStoredConfig} from '../../../core/config/index.js';
import type {ObjectStore, StoreError} from '../../../core/edges/index.js';
import {StoreErrorKind} from '../../../core/edges/index.js';
import type {BackoffRange} from '../../backoff.js';
import {resolveBackoff} from '../../backoff.js';
import type {AcceptOutcome, AcceptRequest, CurrentConfig} from './types.js';
import {AcceptKind} from './types.js';

/** Maximum number of attempts to write one document. */
const MAX_WRITE_ATTEMPTS = 6;

const BACKOFF: BackoffRange = {firstMs: 200, maxMs: 2_000};

/**
 * Writes the accepted configuration with a conditional update. All attempts to
 * write a document carry the same nonce, so that reading the object back shows
 * whether a write without a response took effect. They also expect the same
 * version, so that at most one of them takes effect.
 */
export class ConfigWriter {
  private readonly store: ObjectStore;
  private readonly clock: Clock;
  private readonly random: RandomSource;

  constructor(options: {
    store: ObjectStore;
    clock: Clock;
    random: RandomSource;
  }) {
    this.store = options.store;
    this.clock = options.clock;
    this.random = options.random;
  }

  /**
   * Accepts a document unless another operator's document was accepted first.
   *
   * @example
   * await writer.accept({document, operator: 'anna', expectedVersion: 4});
   */
  async accept(req: AcceptRequest): Promise<AcceptOutcome> {
    const read = await readCurrentConfig(this.store);
    if (read.isErr()) {
      const {detail} = read.error;
      return {kind: AcceptKind.FAILED, detail, isInDoubt: false};
    }
    const current = read.value;
    if (isSameDocument(current, req)) {
      return {kind: AcceptKind.UNCHANGED, version: current.version};
    }
    if (!matchesExpectedVersion(current, req)) {
      return {kind: AcceptKind.CONFLICT, current, isInDoubt: false};
    }
    const {document, operator} = req;
    const value = {nonce: this.random.id(), operator, document};
    return this.write(current, value);
  }

  private async write(
    previous: CurrentConfig,
    value: StoredConfig,
  ): Promise<AcceptOutcome> {
    let isInDoubt = false;
    let detail = '';
    for (let attempt = 1; attempt <= MAX_WRITE_ATTEMPTS; attempt++) {
      const written = await this.writeOnce(previous, value);
      if (written.isOk()) {
        const version = written.value;
        return {kind: AcceptKind.ACCEPTED, version, previous};
      }
      detail = written.error.detail;
      isInDoubt ||= written.error.kind === StoreErrorKind.UNKNOWN;
      if (written.error.kind === StoreErrorKind.INVALID) {
        break;
      }
      const outcome = await this.readBackOutcome(
        previous,
        value.nonce,
        isInDoubt,
      );
      if (outcome !== undefined) {
        return outcome;
      }
      await this.waitBeforeRetry(attempt);
    }
    return {kind: AcceptKind.FAILED, detail, isInDoubt};
  }

  private async writeOnce(
    previous: CurrentConfig,
    value: StoredConfig,
  ): Promise<Result<number, StoreError>> {
    const expectedVersion = previous.version;
    const written =
      expectedVersion === 0
        ? await this.store.create({...CONFIG_OBJECT, value})
        : await this.store.update({...CONFIG_OBJECT, value, expectedVersion});
    return written.map(({version}) => version);
  }

  /**
   * Reads the configuration back after a failed write. Returns undefined if the
   * read fails or the store still has the previous version; then the write is
   * tried again.
   */
  private async readBackOutcome(
    previous: CurrentConfig,
    nonce: string,
    isInDoubt: boolean,
  ): Promise<AcceptOutcome | undefined> {
    const read = await readCurrentConfig(this.store);
    if (read.isErr()) {
      return undefined;
    }
    const current = read.value;
    const isOwnWrite = current.stored
      .filter((stored) => stored.nonce === nonce)
      .isJust();
    if (isOwnWrite) {
      const {version} = current;
      return {kind: AcceptKind.ACCEPTED, version, previous};
    }
    return current.version === previous.version
      ? undefined
      : {kind: AcceptKind.CONFLICT, current, isInDoubt};
  }

  private waitBeforeRetry(attempt: number): Promise<void> {
    const {random} = this;
    const delayMs = resolveBackoff({range: BACKOFF, attempt, random});
    return sleep(this.clock, delayMs);
  }
}

/**
 * Reads the accepted configuration.
 *
 * @example
 * const current = await readCurrentConfig(store);
 */
export async function readCurrentConfig(
  store: ObjectStore,
): Promise<Result<CurrentConfig, StoreError>> {
  const read = await store.read(CONFIG_OBJECT);
  if (read.isErr()) {
    return err(read.error);
  }
  const version = read.value.map((object) => object.version).orDefault(0);
  const stored = read.value.chain((object) => parseStoredConfig(object.value));
  return ok({version, stored: version === 0 ? Nothing : stored});
}

function isSameDocument(current: CurrentConfig, req: AcceptRequest): boolean {
  return current.stored
    .filter(({document}) => isDeepStrictEqual(document, req.document))
    .isJust();
}

function matchesExpectedVersion(
  current: CurrentConfig,
  req: AcceptRequest,
): boolean {
  if (req.expectedVersion !== undefined) {
    return current.version === req.expectedVersion;
  }
  return current.version === 0 || current.stored.isJust();
}
