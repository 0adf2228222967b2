/** Poison requests, which crash their targets, sent to several entries. */
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
  countRequestsAfterThirdCrash,
  sleep,
  startPoisonSite,
} from '../support/poison-scenario.js';

/**
 * Losses after which a request is quarantined; one more is needed if another
 * request was lost with all the same targets.
 */
const LOSSES_TO_QUARANTINE = 3;
const SHARED_LOSS_MARGIN = 1;

/** Time from the third loss until all entries have read it, in milliseconds. */
const PROPAGATION_MS = 700;

const TEST_TIMEOUT_MS = 20_000;

/** Disturbance of the site during the scenario. */
enum Disturbance {
  NONE = 'no disturbance',
  STORE_UNAVAILABLE = 'the store unavailable',
  STORE_SLOW = 'a slow store',
  STORE_REJECTS_ONE_ENTRY = 'one entry rejected by the store',
  ENTRY_RESTARTS = 'restarts of entries',
  POWER_LOSS = 'a power loss of all entries',
  DATA_CENTRE_OUTAGE = 'a data-centre outage',
}

interface Row {
  readonly path: SitePath;
  readonly afterEvents: number;
  readonly caller: CallerBehaviour;
  readonly disturbance: Disturbance;
  readonly maxLosses: number;
}

const {STREAM, SAFE, UNSAFE} = SitePath;
const {WAITS_FOR_RESPONSE, HANGS_UP, TIMES_OUT, ALL_ENTRIES} = CallerBehaviour;
const UNDISTURBED = {
  disturbance: Disturbance.NONE,
  maxLosses: LOSSES_TO_QUARANTINE + SHARED_LOSS_MARGIN,
};
const STREAM_HANGS_UP = {path: STREAM, afterEvents: 0, caller: HANGS_UP};

/** Each entry may have one attempt in progress at the third loss. */
const CONCURRENT = {...UNDISTURBED, maxLosses: LOSSES_TO_QUARANTINE + ENTRIES};

/** Entries that cannot share losses count separately. */
const MAX_UNSHARED_LOSSES = LOSSES_TO_QUARANTINE * ENTRIES;

const ROWS: readonly Row[] = [
  ...[WAITS_FOR_RESPONSE, HANGS_UP, TIMES_OUT].flatMap((caller) => [
    {path: STREAM, afterEvents: 0, caller, ...UNDISTURBED},
    {path: STREAM, afterEvents: 2, caller, ...UNDISTURBED},
    {path: STREAM, afterEvents: 20, caller, ...UNDISTURBED},
    {path: SAFE, afterEvents: 0, caller, ...UNDISTURBED},
    {path: UNSAFE, afterEvents: 0, caller, ...UNDISTURBED},
  ]),
  {path: STREAM, afterEvents: 0, caller: ALL_ENTRIES, ...CONCURRENT},
  {path: STREAM, afterEvents: 20, caller: ALL_ENTRIES, ...CONCURRENT},
  {path: SAFE, afterEvents: 0, caller: ALL_ENTRIES, ...CONCURRENT},
  {path: UNSAFE, afterEvents: 0, caller: ALL_ENTRIES, ...CONCURRENT},
  {
    ...STREAM_HANGS_UP,
    disturbance: Disturbance.STORE_UNAVAILABLE,
    maxLosses: MAX_UNSHARED_LOSSES,
  },
  {
    ...STREAM_HANGS_UP,
    disturbance: Disturbance.STORE_SLOW,
    maxLosses: CONCURRENT.maxLosses,
  },
  {
    ...STREAM_HANGS_UP,
    disturbance: Disturbance.STORE_REJECTS_ONE_ENTRY,
    maxLosses: LOSSES_TO_QUARANTINE * 2,
  },
  {...STREAM_HANGS_UP, ...UNDISTURBED, disturbance: Disturbance.ENTRY_RESTARTS},
  {...STREAM_HANGS_UP, ...UNDISTURBED, disturbance: Disturbance.POWER_LOSS},
  {
    ...STREAM_HANGS_UP,
    ...UNDISTURBED,
    disturbance: Disturbance.DATA_CENTRE_OUTAGE,
  },
  {
    ...STREAM_HANGS_UP,
    ...UNDISTURBED,
    caller: WAITS_FOR_RESPONSE,
    disturbance: Disturbance.DATA_CENTRE_OUTAGE,
  },
];

/** Round of the scenario in which the disturbance begins. */
const DISTURBANCE_ROUND = 1;

/** Round of the scenario in which the store is available again. */
const STORE_RECOVERY_ROUND = 9;

async function disturb(
  site: DirectSite,
  disturbance: Disturbance,
  round: number,
) {
  const beginsNow = round === DISTURBANCE_ROUND;
  const endsNow = round === STORE_RECOVERY_ROUND;
  switch (disturbance) {
    case Disturbance.STORE_UNAVAILABLE:
      if (beginsNow) site.store.mode = StoreMode.BUSY;
      if (endsNow) site.store.mode = StoreMode.UP;
      break;
    case Disturbance.STORE_SLOW:
      if (beginsNow) site.store.delayMs = 100;
      break;
    case Disturbance.STORE_REJECTS_ONE_ENTRY:
      if (beginsNow) site.storeEndpoints[0]!.mode = StoreMode.BUSY;
      break;
    case Disturbance.ENTRY_RESTARTS:
      await restartEntries(site, [round % ENTRIES]);
      break;
    case Disturbance.POWER_LOSS:
      if (round % 2 === 0) await restartEntries(site, [0, 1, 2]);
      break;
    case Disturbance.DATA_CENTRE_OUTAGE:
      if (round % 2 === 1) crashDataCentre(site, round);
      break;
    default:
  }
}

async function restartEntries(site: DirectSite, entries: readonly number[]) {
  for (const i of entries) site.entries[i]!.stop();
  for (const i of entries) await site.startEntry(i);
  while (!site.entries.every(({process}) => process.isReady())) await sleep(5);
}

function crashDataCentre(site: DirectSite, round: number): void {
  for (const target of targetsInDataCentre(site, round % 3)) {
    target.crash();
    target.onCrash();
  }
}

describe('a poison request', () => {
  let site: DirectSite;

  afterEach(() => site.stop());

  it.each(ROWS)(
    'is quarantined: $path, crash after $afterEvents events, caller $caller, $disturbance',
    {timeout: TEST_TIMEOUT_MS},
    async (row) => {
      const {path, caller, afterEvents, disturbance, maxLosses} = row;
      site = await startPoisonSite(path);
      await runPoisonScenario({
        site,
        path,
        caller,
        afterEvents,
        beforeRound: (round) => disturb(site, disturbance, round),
      });
      const isStoreAvailable = disturbance !== Disturbance.STORE_UNAVAILABLE;
      const losses = crashesOf(site).length;
      const late = countRequestsAfterThirdCrash(site, PROPAGATION_MS);
      if (isStoreAvailable) expect({losses, late}).toEqual({losses, late: 0});
      expect(losses).toBeLessThanOrEqual(maxLosses);
      // Once losses are shared, every entry refuses the request.
      const before = crashesOf(site).length;
      site.store.mode = StoreMode.UP;
      for (const endpoint of site.storeEndpoints) endpoint.mode = StoreMode.UP;
      await sleep(PROPAGATION_MS * 2);
      for (let entry = 0; entry < ENTRIES; entry++) {
        const reply = await site.call({path, body: CRASH_MARK, entry});
        expect(reply.status).toBe(503);
      }
      expect(crashesOf(site)).toHaveLength(before);
    },
  );

  it(
    'is diagnosed separately from another one sent at the same time',
    {timeout: TEST_TIMEOUT_MS},
    async () => {
      const bodies = [`${CRASH_MARK} one`, `${CRASH_MARK} two`];
      site = await startPoisonSite(STREAM);
      await runPoisonScenario({site, path: STREAM, caller: HANGS_UP, bodies});
      for (const body of bodies) {
        expect(crashesOf(site, body).length).toBeLessThanOrEqual(
          CONCURRENT.maxLosses,
        );
        expect(countRequestsAfterThirdCrash(site, PROPAGATION_MS, body)).toBe(
          0,
        );
      }
    },
  );
});
