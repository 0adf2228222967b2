/** Tests the choice of targets, also under simulated load. */
import {describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../../src/core/clock/index.js';
import {
  chooseCallTarget,
  chooseEngine,
  promptAffinity,
  shortlistEngines,
} from '../../../src/core/placing/index.js';
import {Target} from '../../../src/core/targets/index.js';

const SEED = 20261204;
const KV_CAPACITY_TOKENS = 55_000;
const GENERATION_TOKENS = 6_000;

function createTargets(dataCentres: readonly string[]) {
  const clock = new ManualClock();
  const targets = dataCentres.map(
    (dataCentre, index) =>
      new Target({
        clock,
        record: {
          id: `i-${index}`,
          service: 's',
          address: `127.0.0.1:${index}`,
          dataCentre,
          slots: 6,
          isDraining: false,
        },
      }),
  );
  return {clock, targets};
}

const createQuery = (
  targets: readonly Target[],
  random = new SeededRandom(SEED),
) => ({
  targets,
  tokens: GENERATION_TOKENS,
  kvCapacityTokens: KV_CAPACITY_TOKENS,
  excluded: new Set<string>(),
  random,
});

describe('chooseEngine', () => {
  it.each([
    {
      name: 'an engine in prefill',
      degrade: (t: Target) => void t.begin({tokens: GENERATION_TOKENS}),
    },
    {
      name: 'an engine that does not respond',
      degrade: (t: Target) => t.pause(),
    },
    {
      name: 'a full engine',
      degrade: (t: Target) => t.recordRejected(),
    },
    {
      name: 'an engine whose KV cache is full of copies',
      degrade: (t: Target) => t.addKvCopy(KV_CAPACITY_TOKENS),
    },
    {
      name: 'an engine with waiting requests',
      degrade: (t: Target) =>
        t.recordLoad({running: 1, waiting: 2, prefilling: 1}),
    },
  ])('avoids $name', ({degrade}) => {
    const {targets} = createTargets(['a', 'a', 'b']);
    degrade(targets[0]!);
    degrade(targets[1]!);
    for (let seed = 0; seed < 50; seed++) {
      const random = new SeededRandom(seed);
      expect(chooseEngine(createQuery(targets, random))).toBe(targets[2]);
    }
  });

  it('avoids a data centre if another one has engines', () => {
    const {targets} = createTargets(['a', 'b']);
    targets[1]!.begin({tokens: GENERATION_TOKENS});
    const avoidedDataCentres = new Set(['a']);
    const query = {...createQuery(targets), avoidedDataCentres};
    expect(chooseEngine(query)).toBe(targets[1]);
    expect(chooseEngine({...query, targets: targets.slice(0, 1)})).toBe(
      targets[0],
    );
  });

  it('prefers fast engines until they are busy', () => {
    const {targets} = createTargets(['a', 'a', 'a']);
    for (const [index, target] of targets.entries()) {
      for (let i = 0; i < 6; i++) target.recordEventGap(index === 0 ? 40 : 31);
    }
    const random = new SeededRandom(SEED);
    const picks = Array.from({length: 3}, () => {
      const target = chooseEngine(createQuery(targets, random))!;
      target.begin({tokens: GENERATION_TOKENS});
      return target.id;
    });
    expect(picks.slice(0, 2).sort()).toEqual(['i-1', 'i-2']);
    expect(picks[2]).toBe('i-0');
  });

  it('starts prefills sooner than a random choice at two thirds load', () => {
    const meanWaitMs = {
      chosen: simulatePrefills(true),
      random: simulatePrefills(false),
    };
    expect(meanWaitMs.chosen).toBeLessThan(meanWaitMs.random / 2);
  });
});

/**
 * Simulates 600 prefills of one second each on 12 engines, at 8 per second,
 * from four entries that receive reports 200 ms late. Returns the mean time
 * until a prefill starts, in milliseconds.
 */
function simulatePrefills(usesChooser: boolean): number {
  const entries = Array.from({length: 4}, () =>
    createTargets(Array(12).fill('a')),
  );
  const random = new SeededRandom(SEED);
  const freeAtMs = Array<number>(12).fill(0);
  let nowMs = 0;
  let totalWaitMs = 0;
  const count = 600;
  for (let i = 0; i < count; i++) {
    const stepMs = -Math.log(1 - random.float()) * 125;
    nowMs += stepMs;
    for (const {clock} of entries) clock.advance(stepMs);
    const {targets} = entries[i % 4]!;
    const candidates = shortlistEngines(createQuery(targets, random), 3);
    for (const target of candidates) {
      const index = targets.indexOf(target);
      const backlogMs = Math.max(0, freeAtMs[index]! - (nowMs - 200));
      const pending = Math.ceil(backlogMs / 1_000);
      const prefilling = Math.min(1, pending);
      target.recordLoad(
        {
          running: prefilling,
          waiting: pending - prefilling,
          prefilling,
        },
        200,
      );
    }
    const chosen = chooseEngine({
      ...createQuery(targets, random),
      targets: candidates,
    });
    const index = usesChooser ? targets.indexOf(chosen!) : random.below(12);
    const startMs = Math.max(nowMs, freeAtMs[index]!);
    totalWaitMs += startMs - nowMs;
    freeAtMs[index] = startMs + 1_000;
  }
  return totalWaitMs / count;
}

describe('chooseCallTarget', () => {
  const createCallQuery = (
    targets: readonly Target[],
    tried: string[] = [],
  ) => ({
    targets,
    dataCentre: 'a',
    excluded: new Set(tried),
    random: new SeededRandom(SEED),
  });

  it('prefers the idle target in its own data centre', () => {
    const {targets} = createTargets(['b', 'a']);
    expect(chooseCallTarget(createCallQuery(targets))).toBe(targets[1]);
  });

  it('chooses no target twice', () => {
    const {targets} = createTargets(['a', 'b']);
    expect(chooseCallTarget(createCallQuery(targets, ['i-0']))).toBe(
      targets[1],
    );
    expect(
      chooseCallTarget(createCallQuery(targets, ['i-0', 'i-1'])),
    ).toBeUndefined();
  });

  it('avoids a target with a higher failure share than the others', () => {
    const {targets} = createTargets(['a', 'b', 'b']);
    for (let i = 0; i < 30; i++) {
      targets[0]!.recordResponse(i % 2 === 0);
      targets[1]!.recordResponse(i % 10 === 0);
      targets[2]!.recordResponse(i % 10 === 0);
    }
    expect(chooseCallTarget(createCallQuery(targets))).not.toBe(targets[0]);
  });

  const SLOW = {running: 0, waiting: 0, slots: 6, slowness: 3};

  it.each([
    {name: 'just told that it is slow', ageMs: 0, isAvoided: true},
    {name: 'told so 800 ms ago', ageMs: 800, isAvoided: false},
  ])('avoids a target that $name: $isAvoided', ({ageMs, isAvoided}) => {
    const {clock, targets} = createTargets(['a', 'a']);
    targets[0]!.recordLoad(SLOW);
    clock.advance(ageMs);
    targets[1]!.begin({tokens: 0});
    const chosen = chooseCallTarget(createCallQuery(targets));
    expect(chosen === targets[1]).toBe(isAvoided);
  });

  it('uses a slow target before it waits for a full one', () => {
    const {targets} = createTargets(['a', 'a']);
    targets[0]!.recordLoad({...SLOW, slowness: 2});
    targets[1]!.recordLoad({running: 6, waiting: 3, slots: 6, slowness: 1});
    expect(chooseCallTarget(createCallQuery(targets))).toBe(targets[0]);
  });

  it('goes by the slots that a target tells', () => {
    const {targets} = createTargets(['a', 'a']);
    targets[0]!.recordLoad({running: 3, waiting: 0, slots: 2});
    targets[1]!.recordLoad({running: 4, waiting: 0});
    expect(chooseCallTarget(createCallQuery(targets))).toBe(targets[1]);
  });

  it('gives uneven targets uneven shares', () => {
    const {targets} = createTargets(['a', 'a', 'a']);
    const slowness = [1, 1, 2];
    for (let i = 0; i < 12; i++) {
      targets.forEach((target, index) =>
        target.recordLoad({
          running: target.running,
          waiting: 0,
          slots: 6,
          slowness: slowness[index],
        }),
      );
      chooseCallTarget(createCallQuery(targets))!.begin({tokens: 0});
    }
    expect(targets.map(({running}) => running)).toEqual([5, 5, 2]);
  });
});

describe('promptAffinity', () => {
  const {targets} = createTargets(Array.from({length: 60}, () => 'a'));
  const promptOf = (id: string) => [
    {id: 'shared', tokens: 200},
    {id, tokens: 5_000},
  ];
  const choose = (
    prompt: string,
    options: {isReturning?: boolean; among?: readonly Target[]; seed?: number},
  ) => {
    const {isReturning = false, among = targets, seed = SEED} = options;
    const affinity = promptAffinity({
      promptParts: promptOf(prompt),
      isReturning,
      targets: among,
    });
    const query = createQuery(among, new SeededRandom(seed));
    return chooseEngine({...query, affinity});
  };

  it('prefers the same engine at every entry', () => {
    const chosen = [1, 2, 3].map((seed) => choose('p-1', {seed})?.id);
    expect(new Set(chosen).size).toBe(1);
  });

  it('spreads prompts over the engines', () => {
    const prompts = Array.from({length: 600}, (_, i) => `p-${i}`);
    const counts = new Map<string, number>();
    for (const prompt of prompts) {
      const id = choose(prompt, {})!.id;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    expect(counts.size).toBeGreaterThan(55);
    expect(Math.max(...counts.values())).toBeLessThan(30);
  });

  it('keeps its choice when another engine leaves', () => {
    const chosen = choose('p-1', {})!;
    const other = targets.find((target) => target !== chosen)!;
    const among = targets.filter((target) => target !== other);
    expect(choose('p-1', {among})).toBe(chosen);
  });

  it.each([
    {name: 'a new generation', isReturning: false, isKept: false},
    {name: 'one that returns', isReturning: true, isKept: true},
  ])('sends $name to an engine in prefill: $isKept', (row) => {
    const {isReturning, isKept} = row;
    const among = createTargets(Array.from({length: 20}, () => 'a')).targets;
    const preferred = choose('p-2', {isReturning, among})!;
    preferred.begin({tokens: GENERATION_TOKENS});
    expect(choose('p-2', {isReturning, among}) === preferred).toBe(isKept);
  });

  it('prefers none for a prompt without parts', () => {
    const query = {promptParts: [], isReturning: true, targets};
    expect(promptAffinity(query).size).toBe(0);
  });
});
