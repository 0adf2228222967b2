/** Which engines are probed after a loss. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import type {DirectTargets} from '../../src/core/edges/direct-target.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import type {ReportedLoad, TargetRecord} from '../../src/core/targets/index.js';
import {TargetSet} from '../../src/core/targets/index.js';
import {Prober} from '../../src/direct/prober.js';
import {silentSupervisor} from '../support/supervisor.js';

const SEED = 20261204;
const SERVICE = 'writers';

/** Of each data centre, the engines that run work of this entry. */
const BUSY = 5;

/** Connections that one loss may open beside those to busy engines. */
const MAX_IDLE_PROBES = 32;

/** More often than a data centre is probed, in milliseconds. */
const STEP_MS = 100;

const recordOf = (i: number, dataCentre: string): TargetRecord => ({
  id: `${dataCentre}-${i}`,
  service: SERVICE,
  dataCentre,
  address: `10.0.0.1:${i}`,
  isDraining: false,
  startedAtMs: 1,
  slots: 8,
});

/** A list without an outage before it. */
const IN_TOUCH = {afterOutage: false, isRestored: false};

describe('Prober', () => {
  const setUp = (
    size: number,
    answer: (id: string) => Result<ReportedLoad, string> = () =>
      ok({running: 0, waiting: 0, startedAtMs: 1}),
  ) => {
    const clock = new ManualClock();
    const targets = new TargetSet({
      clock,
      onRemoved: () => undefined,
      onPaused: (target, pauseMs) => prober.recheckPaused(target, pauseMs),
    });
    const records = ['a', 'b'].flatMap((dataCentre) =>
      Array.from({length: size}, (_, i) => recordOf(i, dataCentre)),
    );
    targets.replaceAll(
      records.map((value) => ({name: value.id, value})),
      IN_TOUCH,
    );
    const probed: string[] = [];
    const queryLoad = ({id}: TargetRecord) => {
      probed.push(id);
      return answer(id);
    };
    const prober: Prober = new Prober({
      clock,
      supervisor: silentSupervisor(clock),
      random: new SeededRandom(SEED),
      client: {queryLoad} as unknown as DirectTargets,
      targets,
      logger: SILENT_LOGGER,
      isEngine: () => true,
      healthPathOf: () => undefined,
      onHealthCheck: () => undefined,
    });
    const all = [...targets.all()];
    for (const target of all)
      if (Number(target.id.slice(2)) < BUSY) target.begin({tokens: 1});
    const lost = all.find(({id}) => id === 'a-0')!;
    lost.pause();
    return {clock, prober, probed, lost, all};
  };

  it.each([{size: 8}, {size: 20}])(
    'probes all others of a data centre with $size engines',
    ({size}) => {
      const {prober, probed, lost} = setUp(size);
      prober.probeDataCentreOf(lost);
      expect(new Set(probed).size).toBe(size - 1);
      expect(probed.every((id) => id.startsWith('a'))).toBe(true);
    },
  );

  it.each([{size: 500}, {size: 2_000}])(
    'probes a sample, and all with own work, of $size engines',
    ({size}) => {
      const {prober, probed, lost} = setUp(size);
      prober.probeDataCentreOf(lost);
      expect(probed.length).toBeLessThanOrEqual(MAX_IDLE_PROBES + BUSY);
      for (let i = 1; i < BUSY; i++) expect(probed).toContain(`a-${i}`);
    },
  );

  it('takes another sample each time', () => {
    const {clock, prober, probed, lost} = setUp(500);
    prober.probeDataCentreOf(lost);
    const first = new Set(probed.splice(0));
    for (let i = 0; i < 10; i++) {
      clock.advance(STEP_MS);
      prober.probeDataCentreOf(lost);
    }
    const repeated = probed.filter((id) => first.has(id));
    expect(probed.length).toBeGreaterThan(0);
    expect(repeated.length).toBeLessThan(probed.length / 2);
  });

  /** Lets probes and timers run for a time. */
  async function pass(clock: ManualClock, ms: number): Promise<void> {
    for (let i = 0; i < ms / STEP_MS; i++) {
      clock.advance(STEP_MS);
      for (let turn = 0; turn < 20; turn++) await Promise.resolve();
    }
  }

  /** Loses all engines of data centre `a` at once. */
  async function loseAll(answer: (id: string) => Result<ReportedLoad, string>) {
    const scene = setUp(20, answer);
    scene.prober.probeDataCentreOf(scene.lost);
    await pass(scene.clock, STEP_MS);
    scene.probed.length = 0;
    return scene;
  }

  it('probes few engines for all that are paused, until one responds', async () => {
    let isBack = false;
    const load = {running: 0, waiting: 0, startedAtMs: 1};
    const {clock, probed, all} = await loseAll(() =>
      isBack ? ok(load) : err('refused'),
    );
    const ofA = all.filter(({id}) => id.startsWith('a'));
    await pass(clock, 4_000);
    expect(probed.length).toBeGreaterThan(0);
    expect(probed.length).toBeLessThan(20);
    isBack = true;
    await pass(clock, 5_000);
    expect(ofA.filter((target) => target.isPaused())).toEqual([]);
    expect(new Set(probed).size).toBe(20);
  });

  it('does not probe an engine again that was replaced', async () => {
    const load = {running: 0, waiting: 0, startedAtMs: 2};
    const {clock, probed, lost} = await loseAll(() => ok(load));
    await pass(clock, 5_000);
    // All but the lost one were probed together after the loss.
    expect(probed).toEqual([lost.id]);
  });

  it('probes the engines that are left of a data centre once', async () => {
    const load = {running: 0, waiting: 0, startedAtMs: 1};
    const isLost = (id: string) => id.startsWith('a') && id.length > 3;
    const {clock, probed} = await loseAll((id) =>
      isLost(id) ? err('refused') : ok(load),
    );
    await pass(clock, 4_000);
    const left = probed.filter((id) => id.startsWith('a') && !isLost(id));
    // Only the one whose loss was reported, as it responds again.
    expect(left).toEqual(['a-0']);
  });
});
