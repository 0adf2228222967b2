/** Which load reports the placement of a generation asks for. */
import {okAsync} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import type {DirectTargets} from '../../src/core/edges/direct-target.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import type {TargetRecord} from '../../src/core/targets/index.js';
import {MAX_REPORT_AGE_MS, TargetSet} from '../../src/core/targets/index.js';
import type {DirectContext, DirectWork} from '../../src/direct/context.js';
import {Prober} from '../../src/direct/prober.js';
import {GenerationRooms} from '../../src/direct/room/index.js';
import {StreamPlacer} from '../../src/direct/streams/stream-placer.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {silentSupervisor} from '../support/supervisor.js';

const SERVICE = 'writers';
const DATA_CENTRES = ['a', 'b', 'c', 'd', 'e'];
const ENGINES = 4;
const SHORTLIST = 3;
const HOLDERS = 3;

/** Longer than a probe's result is reused, shorter than a report is used. */
const SHORT_MS = 300;

/** A list without an outage before it. */
const IN_TOUCH = {afterOutage: false, isRestored: false};

describe('the placement of a generation', () => {
  let clock: ManualClock;
  let asked: string[];
  let ctx: DirectContext;

  beforeEach(() => {
    clock = new ManualClock();
    asked = [];
    const targets = new TargetSet({clock, onRemoved: () => undefined});
    const records = DATA_CENTRES.flatMap((dataCentre) =>
      Array.from({length: ENGINES}, (_, i) => ({
        id: `${dataCentre}-${i}`,
        service: SERVICE,
        dataCentre,
        address: `10.0.0.1:${i}`,
        isDraining: false,
        slots: 8,
      })),
    );
    targets.replaceAll(
      records.map((value) => ({name: value.id, value})),
      IN_TOUCH,
    );
    const random = new SeededRandom(7);
    const supervisor = silentSupervisor(clock);
    const queryLoad = ({id}: TargetRecord) => {
      asked.push(id);
      return okAsync({running: 0, waiting: 0, kvUsedTokens: 0});
    };
    const prober = new Prober({
      clock,
      supervisor,
      random,
      client: {queryLoad} as unknown as DirectTargets,
      targets,
      logger: SILENT_LOGGER,
      isEngine: () => true,
      healthPathOf: () => undefined,
      onHealthCheck: () => undefined,
    });
    const room = new GenerationRooms({
      clock,
      metrics: new Metrics(),
      supervisor,
    });
    const parts = {clock, random, targets, prober, room};
    ctx = parts as unknown as DirectContext;
  });

  const createPlacer = (options: {isResumable?: boolean} = {}) => {
    const {isResumable = true} = options;
    const work = {
      req: {attemptId: 'try-1', promptParts: []},
      service: {
        name: SERVICE,
        engine: {canCopy: true, kvCapacityTokens: 55_000, holdMs: 2_000},
      },
      admitted: {route: {isResumable}},
    } as unknown as DirectWork;
    return new StreamPlacer({ctx, work, heldBack: new Set()});
  };

  it('asks engines that may run it before its room is found', async () => {
    await createPlacer().findTarget();
    expect(asked).toHaveLength(SHORTLIST);
  });

  it('asks no engine that may hold a copy while it finds no room', async () => {
    const placer = createPlacer();
    for (let look = 0; look < 10; look++) {
      asked.length = 0;
      await placer.findTarget();
      expect(asked.length).toBeLessThanOrEqual(SHORTLIST);
      clock.advance(SHORT_MS);
    }
  });

  it('knows an engine for its copy once it has room', async () => {
    const placer = createPlacer();
    const runner = (await placer.findTarget())!;
    await placer.refreshHolders();
    const holder = placer.chooseCopyHolder(runner);
    expect(holder?.record.dataCentre).not.toBe(runner.record.dataCentre);
    expect(holder?.reportAgeMs()).toBeLessThan(MAX_REPORT_AGE_MS);
    expect(asked.length).toBeLessThanOrEqual(SHORTLIST + HOLDERS);
  });

  it('asks no engine for a copy again whose report is still used', async () => {
    await createPlacer().refreshHolders();
    expect(asked).toHaveLength(HOLDERS);
    const known = new Set(asked.splice(0));
    clock.advance(SHORT_MS);
    await createPlacer().refreshHolders();
    expect(asked.filter((id) => known.has(id))).toEqual([]);
  });

  it('asks no engine for a copy that nobody could use', async () => {
    await createPlacer({isResumable: false}).refreshHolders();
    expect(asked).toEqual([]);
  });
});
