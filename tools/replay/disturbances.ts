/** Plays the planned disturbances on a site. */
import {setTimeout as sleep} from 'node:timers/promises';

import {StoreMode} from '../../stand-ins/site/store.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import type {ReplayCallers} from './callers.js';
import {ReplayService} from './config.js';
import {MAX_BODY_BYTES, ZONES} from './consts.js';
import type {Disturbance} from './plan.js';
import {DisturbanceKind} from './plan.js';
import type {ReplayEntry} from './replay-entry.js';
import type {ReplaySite} from './site.js';
import type {PlacedTarget} from './targets.js';

/** Longest time from a kill to the next start, in milliseconds. */
const MAX_DOWN_MS = 3_500;

/** Latest SIGHUP after a start, in milliseconds. */
const MAX_EARLY_HUP_MS = 250;

const MAX_STORE_DELAY_MS = 1_000;
const MAX_STORM_GAP_MS = 330;
const MAX_EXTRA_ROUTES = 3_000;
const MAX_BODIES = 60;
const MAX_STREAMS = 120;
const MAX_BURST = 4;

/** Pause between two targets of a release, in milliseconds. */
const RELEASE_GAP_MS = 1_000;

/** A disturbance and the components that its value `part` selects. */
export interface DisturbanceContext {
  readonly site: ReplaySite;
  readonly callers: ReplayCallers;
  readonly planned: Disturbance;
  readonly entry: ReplayEntry;
  readonly target: PlacedTarget;
}

/** Starts a disturbance, waits for its duration, and ends it. */
type Player = (context: DisturbanceContext) => Promise<void> | void;

const PLAYERS: Readonly<Record<DisturbanceKind, Player>> = {
  [DisturbanceKind.ENTRY_KILL]: (context) => killEntries(context, 1),
  [DisturbanceKind.HERD_KILL]: (context) => {
    const {entries} = context.site;
    const count = 2 + Math.floor(context.planned.part * (entries.length - 1));
    return killEntries(context, count);
  },
  [DisturbanceKind.POWER_LOSS]: (context) =>
    killEntries(context, context.site.entries.length),
  [DisturbanceKind.ENTRY_STOP]: async ({site, entry, planned}) => {
    await entry.stop();
    await site.restart(entry, planned.variant * MAX_DOWN_MS);
  },
  [DisturbanceKind.ROLL]: async ({site, planned}) => {
    for (const entry of site.entries) {
      await entry.stop();
      await site.restart(entry, planned.variant * MAX_DOWN_MS);
    }
  },
  [DisturbanceKind.HUP]: ({entry}) => entry.reload({isChanged: false}),
  [DisturbanceKind.HUP_CHANGED]: ({site}) => {
    for (const entry of site.entries) entry.reload({isChanged: true});
  },
  [DisturbanceKind.HUP_AT_START]: async ({site, entry, planned}) => {
    await entry.kill();
    await site.restart(entry, 0);
    await sleep(planned.variant * MAX_EARLY_HUP_MS);
    entry.reload({isChanged: false});
    await sleep(planned.durationMs);
    await site.restart(entry, 0);
  },
  [DisturbanceKind.SETTINGS_TORN]: ({entry, planned}) =>
    entry.tearSettings(planned.variant, planned.durationMs),
  [DisturbanceKind.ENTRY_PAUSE]: async ({entry, planned}) => {
    entry.pause();
    await sleep(planned.durationMs);
    entry.resume();
  },
  [DisturbanceKind.STORE_RESET]: (context) =>
    setStoreMode(context, StoreMode.RESET),
  [DisturbanceKind.STORE_BUSY]: (context) =>
    setStoreMode(context, StoreMode.BUSY),
  [DisturbanceKind.STORE_SILENT]: (context) =>
    setStoreMode(context, StoreMode.SILENT),
  [DisturbanceKind.STORE_SLOW]: async ({site, planned}) => {
    const {delayMs} = site.store;
    site.store.delayMs += planned.variant * MAX_STORE_DELAY_MS;
    await sleep(planned.durationMs);
    site.store.delayMs = delayMs;
  },
  [DisturbanceKind.STORE_RESTORED]: async ({site, planned}) => {
    const copy = site.store.copy();
    await sleep(planned.durationMs);
    site.store.restore(copy);
  },
  [DisturbanceKind.STORE_HISTORY_LOST]: ({site}) => {
    site.store.dropHistory();
    site.store.endLongPolls();
  },
  [DisturbanceKind.ENTRY_STORE_RESET]: async ({site, entry, planned}) => {
    const endpoint = site.storeOf(entry);
    endpoint.mode = StoreMode.RESET;
    await sleep(planned.durationMs);
    endpoint.mode = StoreMode.UP;
  },
  [DisturbanceKind.TARGET_CRASH]: ({site, target, planned}) =>
    site.targets.crash(target, planned.durationMs),
  [DisturbanceKind.ZONE_CRASH]: async ({site, planned}) => {
    const zone = ZONES[Math.floor(planned.part * ZONES.length)];
    const affected = site.targets.all.filter((each) => each.zone === zone);
    await Promise.all(
      affected.map((each) => site.targets.crash(each, planned.durationMs)),
    );
  },
  [DisturbanceKind.TARGET_LEAVE]: ({site, target, planned}) =>
    site.targets.leave(target, planned.durationMs),
  [DisturbanceKind.TARGET_FAULT]: ({site, target, planned}) => {
    const faults = Object.values(TargetFault);
    const fault = faults[Math.floor(planned.variant * faults.length)]!;
    return site.targets.fault(target, fault, planned.durationMs);
  },
  [DisturbanceKind.TARGET_SILENT]: ({site, target, planned}) =>
    site.targets.silence(target, planned.durationMs),
  [DisturbanceKind.RELEASE]: async ({site, planned}) => {
    const services = Object.values(ReplayService);
    const service = services[Math.floor(planned.variant * services.length)];
    const affected = site.targets.all.filter((each) => {
      return each.service === service;
    });
    const leaves = affected.map(async (each, index) => {
      await sleep(index * RELEASE_GAP_MS);
      await site.targets.leave(each, planned.durationMs);
    });
    await Promise.all(leaves);
  },
  [DisturbanceKind.CONFIG_STORM]: async ({site, planned}) => {
    const endMs = performance.now() + planned.durationMs;
    while (performance.now() < endMs) {
      site.changeConfig();
      await sleep(planned.variant * MAX_STORM_GAP_MS);
    }
  },
  [DisturbanceKind.BIG_CONFIG]: async ({site, planned}) => {
    site.changeConfig(Math.floor(planned.variant * MAX_EXTRA_ROUTES));
    await sleep(planned.durationMs);
    site.changeConfig();
  },
  [DisturbanceKind.BURST]: ({callers, planned}) =>
    callers.burst(1 + planned.variant * (MAX_BURST - 1), planned.durationMs),
  [DisturbanceKind.BIG_BODIES]: ({callers, entry, planned}) => {
    const count = 1 + Math.floor(planned.variant * MAX_BODIES);
    callers.sendBodies(entry, count, MAX_BODY_BYTES);
  },
  [DisturbanceKind.UNREAD_STREAMS]: ({callers, entry, planned}) => {
    const count = 1 + Math.floor(planned.variant * MAX_STREAMS);
    return callers.streamUnread(entry, count, planned.durationMs);
  },
  [DisturbanceKind.ABANDONED_STREAMS]: ({callers, entry, planned}) => {
    const count = 1 + Math.floor(planned.variant * MAX_STREAMS);
    return callers.abandonStreams(entry, count, planned.durationMs);
  },
};

/**
 * Plays one disturbance; resolves when it has ended.
 *
 * @example
 * await playDisturbance({site, callers, planned});
 */
export async function playDisturbance(options: {
  site: ReplaySite;
  callers: ReplayCallers;
  planned: Disturbance;
}): Promise<void> {
  const {site, planned} = options;
  const {entries, targets} = site;
  const entry = entries[Math.floor(planned.part * entries.length)]!;
  const target = targets.all[Math.floor(planned.part * targets.all.length)]!;
  await PLAYERS[planned.kind]({...options, entry, target});
}

/** Kills the next `count` entries at once and starts them after a time. */
async function killEntries(
  {site, planned}: DisturbanceContext,
  count: number,
): Promise<void> {
  const {entries} = site;
  const first = Math.floor(planned.part * entries.length);
  const killed = Array.from({length: count}, (_, index) => {
    return entries[(first + index) % entries.length]!;
  });
  await Promise.all(killed.map((entry) => entry.kill()));
  const downMs = planned.variant * MAX_DOWN_MS;
  await Promise.all(killed.map((entry) => site.restart(entry, downMs)));
}

async function setStoreMode(
  {site, planned}: DisturbanceContext,
  mode: StoreMode,
): Promise<void> {
  site.store.mode = mode;
  await sleep(planned.durationMs);
  site.store.mode = StoreMode.UP;
}
