/** A claim store with one platform object per claim. */
import type {ObjectKey, ObjectStore, StoreError} from '../edges/index.js';
import {ObjectKind, StoreErrorKind} from '../edges/index.js';
import type {ClaimStore} from './claim-store.js';
import type {Claim, StoredClaim, WriteResult} from './types.js';
import {CLAIM, WriteOutcome} from './types.js';

/**
 * Stores each claim as an object of its own. A change is written at once,
 * without waiting for a group; a booking needs up to two writes. The booking
 * experiment compares GroupedClaims with it.
 *
 * @example
 * const claims = new SingleClaims({store});
 */
export class SingleClaims implements ClaimStore {
  constructor(private readonly options: {store: ObjectStore}) {}

  create(options: {name: string; claim: Claim}): Promise<WriteResult> {
    const {name, claim} = options;
    const key = keyOf(name);
    return this.awaitWrite(
      key,
      claim,
      this.options.store.create({...key, value: claim}),
    );
  }

  swap(options: {
    name: string;
    expected: StoredClaim;
    claim: Claim;
  }): Promise<WriteResult> {
    const {name, expected, claim} = options;
    const key = keyOf(name);
    const expectedVersion = expected.version;
    const updating = this.options.store.update({
      ...key,
      value: claim,
      expectedVersion,
    });
    return this.awaitWrite(key, claim, updating);
  }

  private async awaitWrite(
    key: ObjectKey,
    claim: Claim,
    writing: ReturnType<ObjectStore['create']>,
  ): Promise<WriteResult> {
    const written = await writing;
    if (written.isErr()) return this.handleError(key, written.error);
    const {version} = written.value;
    return {outcome: WriteOutcome.WRITTEN, stored: {claim, version}};
  }

  private async handleError(
    key: ObjectKey,
    error: StoreError,
  ): Promise<WriteResult> {
    switch (error.kind) {
      case StoreErrorKind.UNAVAILABLE:
      case StoreErrorKind.INVALID:
        return {outcome: WriteOutcome.NO_EFFECT};
      case StoreErrorKind.UNKNOWN:
        return {outcome: WriteOutcome.IN_DOUBT};
      default:
        return this.readCurrent(key);
    }
  }

  /** Reads the claim that caused the conflict. */
  private async readCurrent(key: ObjectKey): Promise<WriteResult> {
    const read = await this.options.store.read(key);
    const object = read.isOk() ? read.value.extract() : undefined;
    if (object === undefined) return {outcome: WriteOutcome.IN_DOUBT};
    const claim = CLAIM.decode(object.value).toMaybe().extract();
    if (claim === undefined) return {outcome: WriteOutcome.IN_DOUBT};
    const stored = {claim, version: object.version};
    return {outcome: WriteOutcome.CONFLICT, stored};
  }
}

function keyOf(name: string): ObjectKey {
  return {kind: ObjectKind.CLAIM, name};
}
