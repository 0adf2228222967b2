/** Requests that end the targets that run them, at several entries. */
import {afterEach, describe, expect, it} from 'vitest';

import {SitePath} from '../../stand-ins/site/config.js';
import {StoreMode} from '../../stand-ins/site/store.js';
import type {DirectSite} from '../support/direct-site.js';
import {
  CallerBehaviour,
  targetsInDataCentre,
  ENTRIES,
  crashesOf,
  CRASH_MARK,
  runPoisonScenario,
  requestsAfterThirdCrash,
  sleep,
  startPoisonSite,
} from '../support/poison-scenario.js';

/** Losses that name a request; one more where others share them all. */
const NAMED_AFTER = 3;
const SHARED = 1;

/** Time from the third loss until all entries know, in milliseconds. */
const NEWS_MS = 700;

const PLAY_TIMEOUT_MS = 20_000;

/** What befalls the site meanwhile. */
enum Trouble {
  NONE = 'nothing else',
  STORE_AWAY = 'the store away',
  STORE_SLOW = 'the store slow',
  ONE_TURNED_AWAY = 'one entry turned away by the store',
  RESTARTS = 'entries that restart',
  POWER_LOSS = 'all entries losing power',
  DATA_CENTRE = 'a data centre falling',
}

interface Row {
  readonly path: SitePath;
  readonly afterEvents: number;
  readonly caller: CallerBehaviour;
  readonly trouble: Trouble;
  readonly mostLosses: number;
}

const {STREAM, SAFE, UNSAFE} = SitePath;
const {
  WAITS_FOR_RESPONSE: WAITS,
  HANGS_UP,
  TIMES_OUT,
  ALL_ENTRIES: AT_ONCE,
} = CallerBehaviour;
const CALM = {trouble: Trouble.NONE, mostLosses: NAMED_AFTER + SHARED};
const STREAM_HANGS = {path: STREAM, afterEvents: 0, caller: HANGS_UP};

/** Each entry may have one under way when the third is lost. */
const FLOOD = {...CALM, mostLosses: NAMED_AFTER + ENTRIES};

/** Entries that cannot hear of each other each count for themselves. */
const ALONE = NAMED_AFTER * ENTRIES;

const ROWS: readonly Row[] = [
  ...[WAITS, HANGS_UP, TIMES_OUT].flatMap((caller) => [
    {path: STREAM, afterEvents: 0, caller, ...CALM},
    {path: STREAM, afterEvents: 2, caller, ...CALM},
    {path: STREAM, afterEvents: 20, caller, ...CALM},
    {path: SAFE, afterEvents: 0, caller, ...CALM},
    {path: UNSAFE, afterEvents: 0, caller, ...CALM},
  ]),
  {path: STREAM, afterEvents: 0, caller: AT_ONCE, ...FLOOD},
  {path: STREAM, afterEvents: 20, caller: AT_ONCE, ...FLOOD},
  {path: SAFE, afterEvents: 0, caller: AT_ONCE, ...FLOOD},
  {path: UNSAFE, afterEvents: 0, caller: AT_ONCE, ...FLOOD},
  {...STREAM_HANGS, trouble: Trouble.STORE_AWAY, mostLosses: ALONE},
  {...STREAM_HANGS, trouble: Trouble.STORE_SLOW, mostLosses: FLOOD.mostLosses},
  {
    ...STREAM_HANGS,
    trouble: Trouble.ONE_TURNED_AWAY,
    mostLosses: NAMED_AFTER * 2,
  },
  {...STREAM_HANGS, ...CALM, trouble: Trouble.RESTARTS},
  {...STREAM_HANGS, ...CALM, trouble: Trouble.POWER_LOSS},
  {...STREAM_HANGS, ...CALM, trouble: Trouble.DATA_CENTRE},
  {...STREAM_HANGS, ...CALM, caller: WAITS, trouble: Trouble.DATA_CENTRE},
];

/** Visit of the play in which its trouble begins. */
const FIRST_TROUBLE = 1;

/** Visit of the play in which the store is back. */
const STORE_BACK = 9;

async function befall(site: DirectSite, trouble: Trouble, visit: number) {
  const isBegin = visit === FIRST_TROUBLE;
  const isEnd = visit === STORE_BACK;
  switch (trouble) {
    case Trouble.STORE_AWAY:
      if (isBegin) site.store.mode = StoreMode.BUSY;
      if (isEnd) site.store.mode = StoreMode.UP;
      break;
    case Trouble.STORE_SLOW:
      if (isBegin) site.store.delayMs = 100;
      break;
    case Trouble.ONE_TURNED_AWAY:
      if (isBegin) site.storeEndpoints[0]!.mode = StoreMode.BUSY;
      break;
    case Trouble.RESTARTS:
      await restart(site, [visit % ENTRIES]);
      break;
    case Trouble.POWER_LOSS:
      if (visit % 2 === 0) await restart(site, [0, 1, 2]);
      break;
    case Trouble.DATA_CENTRE:
      if (visit % 2 === 1) fell(site, visit);
      break;
    default:
  }
}

async function restart(site: DirectSite, entries: readonly number[]) {
  for (const i of entries) site.entries[i]!.stop();
  for (const i of entries) await site.startEntry(i);
  while (!site.entries.every(({process}) => process.isReady())) await sleep(5);
}

function fell(site: DirectSite, visit: number): void {
  for (const target of targetsInDataCentre(site, visit % 3)) {
    target.crash();
    target.onCrash();
  }
}

describe('a request that ends its targets', () => {
  let site: DirectSite;

  afterEach(() => site.stop());

  it.each(ROWS)(
    'is kept from targets: $path after $afterEvents events, its caller $caller, with $trouble',
    {timeout: PLAY_TIMEOUT_MS},
    async (row) => {
      const {path, caller, afterEvents, trouble, mostLosses} = row;
      site = await startPoisonSite(path);
      await runPoisonScenario({
        site,
        path,
        caller,
        afterEvents,
        beforeRound: (visit) => befall(site, trouble, visit),
      });
      const isHeard = trouble !== Trouble.STORE_AWAY;
      const losses = crashesOf(site).length;
      const late = requestsAfterThirdCrash(site, NEWS_MS);
      if (isHeard) expect({losses, late}).toEqual({losses, late: 0});
      expect(losses).toBeLessThanOrEqual(mostLosses);
      // What is known by now holds at each entry, whatever came before.
      const before = crashesOf(site).length;
      site.store.mode = StoreMode.UP;
      for (const door of site.storeEndpoints) door.mode = StoreMode.UP;
      await sleep(NEWS_MS * 2);
      for (let entry = 0; entry < ENTRIES; entry++) {
        const reply = await site.call({path, body: CRASH_MARK, entry});
        expect(reply.status).toBe(503);
      }
      expect(crashesOf(site)).toHaveLength(before);
    },
  );

  it(
    'is told from another that comes at the same time',
    {timeout: PLAY_TIMEOUT_MS},
    async () => {
      const bodies = [`${CRASH_MARK} one`, `${CRASH_MARK} two`];
      site = await startPoisonSite(STREAM);
      await runPoisonScenario({site, path: STREAM, caller: HANGS_UP, bodies});
      for (const body of bodies) {
        expect(crashesOf(site, body).length).toBeLessThanOrEqual(
          FLOOD.mostLosses,
        );
        expect(requestsAfterThirdCrash(site, NEWS_MS, body)).toBe(0);
      }
    },
  );
});
