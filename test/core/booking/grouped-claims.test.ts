/**
 * Grouped claims over a store that loses writes and responses. Guards against
 * two requests that both hold the claim of one name.
 */
import fc from 'fast-check';
import {okAsync} from 'neverthrow';
import {describe, expect, it} from 'vitest';

import type {Claim, ClaimStore} from '../../../src/core/booking/index.js';
import {
  CLAIM_RETENTION_MS,
  ClaimState,
  ClaimTable,
  GroupedClaims,
  WriteOutcome,
} from '../../../src/core/booking/index.js';
import {SeededRandom, SystemClock} from '../../../src/core/clock/index.js';
import type {ObjectKey, StoredObject} from '../../../src/core/edges/index.js';
import {MemoryStore, WriteFault} from '../../cli/lib/memory-store.js';
import {silentSupervisor} from '../../support/supervisor.js';

const SEED = 5;
const RUNS = 400;
const MAX_ATTEMPTS = 6;
const NAMES = ['a', 'b', 'c'];

/** A memory store that also lists its objects. */
class LogStore extends MemoryStore {
  private readonly all = new Map<string, StoredObject>();

  override put(key: ObjectKey, value: unknown): StoredObject {
    const object = super.put(key, value);
    this.all.set(object.name, object);
    return object;
  }

  override list() {
    return okAsync([...this.all.values()]);
  }
}

function createClaim(nonce: string, claimedAtMs = Date.now()): Claim {
  return {
    nonce,
    state: ClaimState.HELD,
    fingerprint: '',
    agentVm: '',
    agentIncarnation: '',
    entryIncarnation: '',
    claimedAtMs,
  };
}

function createEntry(store: MemoryStore, seed: number): ClaimStore {
  const random = new SeededRandom(seed);
  const clock = new SystemClock();
  return new GroupedClaims({
    store,
    clock,
    supervisor: silentSupervisor(clock),
    random,
    writeIntervalMs: 0,
  });
}

/** The result of claiming a name. */
interface ClaimAttempt {
  readonly name: string;
  readonly nonce: string;
  /** Nonce of the claim that the name has; undefined if it is not known. */
  readonly holder?: string;
}

/** Claims a name as a booking does, which retries a write in doubt. */
async function claimName(
  claims: ClaimStore,
  name: string,
  nonce: string,
): Promise<ClaimAttempt> {
  for (let i = 0; i < MAX_ATTEMPTS; i++) {
    const result = await claims.create({name, claim: createClaim(nonce)});
    if (result.outcome === WriteOutcome.IN_DOUBT) continue;
    return {name, nonce, holder: result.stored?.claim.nonce};
  }
  return {name, nonce};
}

const REQUESTS = fc.array(
  fc.record({entry: fc.nat(1), name: fc.constantFrom(...NAMES)}),
  {minLength: 1, maxLength: 12},
);

const FAULTS = fc.array(
  fc.constantFrom(
    undefined,
    WriteFault.RESPONSE_LOST,
    WriteFault.WRITE_LOST,
    WriteFault.UNAVAILABLE,
  ),
  {maxLength: 8},
);

describe('GroupedClaims', () => {
  it('gives each name one holder, on which all entries agree', async () => {
    const property = fc.asyncProperty(
      REQUESTS,
      FAULTS,
      async (requests, faults) => {
        const store = new LogStore();
        store.faults.push(...(faults as WriteFault[]));
        const entries = [createEntry(store, 1), createEntry(store, 2)];
        const attempts = await Promise.all(
          requests.map(({entry, name}, i) =>
            claimName(entries[entry]!, name, `n${i}`),
          ),
        );
        store.faults.length = 0;
        const reader = createEntry(store, 3);
        for (const name of NAMES) {
          const {holder} = await claimName(reader, name, 'reader');
          const holders = attempts
            .filter((attempt) => attempt.name === name)
            .flatMap((attempt) => attempt.holder ?? []);
          expect([...new Set(holders), holder]).toEqual(
            holders.length > 0 ? [holder, holder] : [holder],
          );
        }
      },
    );
    await fc.assert(property, {seed: SEED, numRuns: RUNS});
  });

  it('writes many claims in one store write', async () => {
    const store = new LogStore();
    const entry = createEntry(store, 1);
    const count = 100;
    await Promise.all(
      Array.from({length: count}, (_, i) => claimName(entry, `k${i}`, `n${i}`)),
    );
    expect(store.writes).toBe(1);
  });

  it('expires claims by the log alone, so that all entries agree', () => {
    const table = new ClaimTable();
    const change = {name: 'a', claim: createClaim('n', 0), expected: 0};
    const segment = {nonce: '', writtenAtMs: 0, changes: [change]};
    const emptySegment = {...segment, changes: []};
    expect(table.apply(segment)[0]!.written).toBe(true);
    table.apply({...emptySegment, writtenAtMs: CLAIM_RETENTION_MS});
    expect(table.find('a')?.claim.nonce).toBe('n');
    table.apply({...emptySegment, writtenAtMs: CLAIM_RETENTION_MS + 1});
    expect(table.find('a')).toBeUndefined();
  });
});
