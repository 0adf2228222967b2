/**
 * A generation that went on in another data centre, when that one is lost too,
 * at an entry whose reports are of that data centre or old.
 */
import {describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import type {Target} from '../../src/core/targets/index.js';
import {TargetSet} from '../../src/core/targets/index.js';
import type {DirectContext, DirectWork} from '../../src/direct/context.js';
import {KvCacheReplicator} from '../../src/direct/streams/kv-cache-replicator.js';
import {StreamPlacer} from '../../src/direct/streams/stream-placer.js';
import {okAsync} from 'neverthrow';

const SERVICE = 's';
const ENGINES = 8;
const SEEDS = 20;
const CAPACITY_TOKENS = 55_000;
const EVENT_GAP_MS = 100;
/** Time between the outages of two data centres. */
const OUTAGE_INTERVAL_MS = 6_000;

/** A list without an outage before it. */
const IN_TOUCH = {afterOutage: false, isRestored: false};

const WORK = {
  req: {
    attemptId: 'try-1',
    promptParts: [],
    generation: {promptTokens: 5_000, maxOutputTokens: 1_300},
  },
  service: {
    name: SERVICE,
    engine: {canCopy: true, holdMs: 2_000, kvCapacityTokens: CAPACITY_TOKENS},
  },
  admitted: {route: {isResumable: true}},
} as unknown as DirectWork;

interface Load {
  /** Data centres of which the entry has a recent report. */
  readonly known: readonly string[];
  /** Data centres whose engines have no room. */
  readonly full: readonly string[];
}

const loadOf = ({full}: Load, {record}: Target) => ({
  running: full.includes(record.dataCentre) ? 9 : 1,
  waiting: 0,
  kvUsedTokens: full.includes(record.dataCentre) ? CAPACITY_TOKENS : 5_000,
});

/** Plays a generation that resumed in `b` until `b` is lost, too. */
async function playUntilOutage(load: Load, seed: number) {
  const clock = new ManualClock();
  const targets = new TargetSet({clock, onRemoved: () => undefined});
  const records = ['a', 'b', 'c'].flatMap((dataCentre) =>
    Array.from({length: ENGINES}, (_, i) => ({
      id: `${dataCentre}-${i}`,
      service: SERVICE,
      dataCentre,
      address: `10.0.0.1:${i}`,
      isDraining: false,
      slots: 64,
    })),
  );
  const named = records.map((value) => ({name: value.id, value}));
  targets.replaceAll(named, IN_TOUCH);
  const all = targets.ofService(SERVICE);
  for (const target of all) {
    target.recordSeen();
    const {dataCentre} = target.record;
    if (load.known.includes(dataCentre))
      target.recordLoad(loadOf(load, target));
  }
  let asked = 0;
  const refreshReports = (stale: readonly Target[]) => {
    asked += stale.length;
    for (const target of stale) target.recordLoad(loadOf(load, target));
    return Promise.resolve();
  };
  const ctx = {
    clock,
    random: new SeededRandom(seed),
    targets,
    room: {ofService: () => ({meanTokens: 6_300})},
    prober: {refreshReports, noteReplaced: () => undefined},
    supervisor: {run: (_: unknown, run: () => Promise<void>) => void run()},
    client: {
      copyKvCache: () => okAsync('handle'),
      freeKvCopy: () => okAsync(0),
    },
  } as unknown as DirectContext;
  const placer = new StreamPlacer({ctx, work: WORK, heldBack: new Set()});
  const runner = all.find(({id}) => id === 'b-0')!;
  const replicator = new KvCacheReplicator({
    ctx,
    work: WORK,
    runner,
    tokens: placer.tokens,
    chooseHolder: () => placer.chooseCopyHolder(runner),
    findHolder: () => placer.findCopyHolder(runner),
  });
  for (let ms = 0; ms < OUTAGE_INTERVAL_MS; ms += EVENT_GAP_MS) {
    clock.advance(EVENT_GAP_MS);
    replicator.maintainCopy();
    await new Promise(setImmediate);
  }
  return {dataCentre: replicator.copy?.holder.record.dataCentre, asked};
}

describe('a generation that went on in b', () => {
  it.each([
    {known: ['a', 'c'], full: [], reports: 0},
    {known: ['b'], full: [], reports: 2},
    {known: [], full: [], reports: 2},
    {known: ['b'], full: ['a'], reports: 2},
  ])(
    'has a copy when b is lost, with reports of $known and $full full',
    async ({known, full, reports}) => {
      for (let seed = 0; seed < SEEDS; seed++) {
        const {dataCentre, asked} = await playUntilOutage({known, full}, seed);
        expect(['a', 'c']).toContain(dataCentre);
        expect(full).not.toContain(dataCentre);
        expect(asked).toBeLessThanOrEqual(reports);
      }
    },
  );

  it('has none while no other data centre has room', async () => {
    const load = {known: ['b'], full: ['a', 'c']};
    const {dataCentre, asked} = await playUntilOutage(load, 1);
    expect(dataCentre).toBeUndefined();
    // A search each second, of two engines.
    expect(asked).toBeLessThanOrEqual(12);
  });
});
