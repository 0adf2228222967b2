/** Plays the faults of a plan on a site. */
import {setTimeout as sleep} from 'node:timers/promises';

import {Kind} from '../../platform/names.js';
import {Direction} from '../../stand-ins/relay/relay.js';
import {StoreMode} from '../../stand-ins/site/store.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import {entryPart, targetPart} from './checks/index.js';
import {LEAVE_MS, ZONES} from './consts.js';
import {STORE} from './history.js';
import type {Episode} from './plan.js';
import {FaultKind} from './plan.js';
import type {SoakSite} from './site.js';
import type {SoakEntry} from './soak-entry.js';
import type {SoakTarget} from './soak-target.js';

/** Largest step of a wall clock, either way, in milliseconds. */
const MAX_CLOCK_STEP_MS = 120_000;

const MAX_DELAY_MS = 400;

/** How long a leaving target stays beyond the time without new work. */
const STAY_MS = 1_500;

/** Pause before an entry's next process, in milliseconds. */
const RESTART_MS = 400;

/** What a fault is played on. */
interface Stage {
  readonly site: SoakSite;
  readonly episode: Episode;
  readonly entry: SoakEntry;
  readonly target: SoakTarget;
  /** Targets of one zone. */
  readonly zone: readonly SoakTarget[];
}

/** Begins a fault, waits, and ends it. */
type Script = (stage: Stage) => Promise<void>;

const SCRIPTS: Readonly<Record<FaultKind, Script>> = {
  [FaultKind.ENTRY_KILL]: ({site, entry, episode}) =>
    disturb({site, episode, parts: [entryPart(entry.name)]}, async () => {
      if (!entry.isUp) return;
      await entry.kill();
      await sleep(episode.durationMs);
      await entry.run();
    }),
  [FaultKind.ENTRY_PAUSE]: ({site, entry, episode}) =>
    disturb({site, episode, parts: [entryPart(entry.name)]}, async () => {
      entry.pause();
      await sleep(episode.durationMs);
      entry.resume();
    }),
  // A planned stop is no fault: nothing excuses what it cuts off.
  [FaultKind.ENTRY_STOP]: async ({entry}) => {
    if (!entry.isUp) return;
    await entry.stop();
    await sleep(RESTART_MS);
    await entry.run();
  },
  [FaultKind.ENTRY_CLOCK_STEP]: ({site, entry, episode}) =>
    disturb({site, episode, parts: [entryPart(entry.name)]}, async () => {
      entry.stepClock((episode.variant - 0.5) * 2 * MAX_CLOCK_STEP_MS);
      await sleep(episode.durationMs);
      entry.stepClock(0);
    }),
  [FaultKind.ENTRY_SETTINGS_TORN]: async ({entry, episode}) => {
    entry.writeSettings(episode.variant);
    await sleep(episode.durationMs);
    entry.writeSettings();
  },
  [FaultKind.ENTRY_STORE_CUT]: (stage) => cutFromStore(stage),
  [FaultKind.ENTRY_STORE_ONE_WAY]: (stage) =>
    cutFromStore(stage, [directionOf(stage.episode)]),
  [FaultKind.ENTRY_STORE_RESET]: ({site, entry, episode}) =>
    disturb({site, episode, parts: [entryPart(entry.name)]}, () => {
      entry.storeRelay.reset();
      return Promise.resolve();
    }),
  [FaultKind.STORE_BUSY]: (stage) => putStoreIn(stage, StoreMode.BUSY),
  [FaultKind.STORE_SILENT]: (stage) => putStoreIn(stage, StoreMode.SILENT),
  [FaultKind.STORE_RESET]: (stage) => putStoreIn(stage, StoreMode.RESET),
  [FaultKind.STORE_PAUSE]: ({site, episode}) =>
    disturb({site, episode, parts: [STORE]}, async () => {
      site.store.proc.freeze();
      await sleep(episode.durationMs);
      site.store.proc.thaw();
    }),
  [FaultKind.STORE_HISTORY_LOST]: ({site, episode}) =>
    disturb({site, episode, parts: [STORE]}, () =>
      site.store.ask('dropHistory', undefined),
    ),
  [FaultKind.STORE_WAITERS_CUT]: ({site, episode}) =>
    disturb({site, episode, parts: [STORE]}, () =>
      site.store.ask('cutWaiters', undefined),
    ),
  // Another writer leaves what names no target; no other target may suffer.
  [FaultKind.STORE_JUNK]: async ({site, episode}) => {
    const junk = {kind: Kind.TARGETS, name: `junk-${episode.atMs}`};
    const spec = {service: 7, address: 'nowhere', state: episode.variant};
    await site.store.ask('put', {...junk, spec});
    await sleep(episode.durationMs);
    await site.store.ask('remove', junk);
  },
  [FaultKind.TARGET_KILL]: ({site, target, episode}) =>
    disturbTargets({site, episode}, [target], () =>
      site.replaceTarget(target, episode.durationMs),
    ),
  [FaultKind.TARGET_PAUSE]: ({site, target, episode}) =>
    disturbTargets({site, episode}, [target], async () => {
      target.standIn.proc.freeze();
      await sleep(episode.durationMs);
      target.standIn.proc.thaw();
    }),
  [FaultKind.TARGET_LEAVE]: (stage) => leave(stage),
  [FaultKind.TARGET_FAULTY]: ({site, target, episode}) => {
    const faults = Object.values(TargetFault);
    const fault = faults[Math.floor(episode.variant * faults.length)]!;
    return disturbTargets({site, episode}, [target], () =>
      site.withFault(target, fault, episode.durationMs),
    );
  },
  [FaultKind.TARGET_CUT]: ({site, target, episode}) =>
    disturbTargets({site, episode}, [target], () =>
      site.withCut([target], episode.durationMs),
    ),
  [FaultKind.TARGET_ONE_WAY]: ({site, target, episode}) =>
    disturbTargets({site, episode}, [target], () =>
      site.withCut([target], episode.durationMs, [directionOf(episode)]),
    ),
  [FaultKind.TARGET_RESET]: ({site, target, episode}) =>
    disturbTargets({site, episode}, [target], () => {
      target.relay.reset();
      return Promise.resolve();
    }),
  [FaultKind.TARGET_DELAY]: ({site, target, episode}) =>
    disturbTargets({site, episode}, [target], async () => {
      target.relay.delay(episode.variant * MAX_DELAY_MS);
      await sleep(episode.durationMs);
      target.relay.restore();
    }),
  [FaultKind.ZONE_KILL]: ({site, zone, episode}) =>
    disturbTargets({site, episode}, zone, async () => {
      const {durationMs} = episode;
      await Promise.all(
        zone.map((target) => site.replaceTarget(target, durationMs)),
      );
    }),
  [FaultKind.ZONE_CUT]: ({site, zone, episode}) =>
    disturbTargets({site, episode}, zone, () =>
      site.withCut(zone, episode.durationMs),
    ),
  [FaultKind.CONFIG_CHANGE]: ({site}) => site.changeConfig(),
};

/**
 * Plays one fault from its begin to its end.
 *
 * @example
 * await playEpisode(site, {kind: FaultKind.TARGET_KILL, ...});
 */
export async function playEpisode(
  site: SoakSite,
  episode: Episode,
): Promise<void> {
  const pick = <T>(parts: readonly T[]): T =>
    parts[Math.floor(episode.part * parts.length)]!;
  const zoneName = pick(ZONES);
  const zone = site.targets.filter((target) => target.zone === zoneName);
  const entry = pick(site.entries);
  const target = pick(site.targets);
  // All targets may be down at once.
  if (target === undefined) return;
  await SCRIPTS[episode.kind]({site, episode, entry, target, zone});
}

interface Scope {
  readonly site: SoakSite;
  readonly episode: Episode;
}

/** Plays a fault and notes which parts were under it, and when. */
async function disturb(
  {site, episode, parts}: Scope & {parts: readonly string[]},
  play: () => Promise<void>,
): Promise<void> {
  const fromMs = Date.now();
  const kind = episode.kind;
  const faults = parts.map((part) => ({part, kind, fromMs, toMs: Infinity}));
  site.history.disturbances.push(...faults);
  await play();
  const toMs = Date.now();
  for (const fault of faults) fault.toMs = toMs;
}

function disturbTargets(
  scope: Scope,
  targets: readonly SoakTarget[],
  play: () => Promise<void>,
): Promise<void> {
  const parts = targets.map(({id}) => targetPart(id));
  return disturb({...scope, parts}, play);
}

function cutFromStore(
  {site, entry, episode}: Stage,
  directions?: readonly Direction[],
): Promise<void> {
  const parts = [entryPart(entry.name)];
  return disturb({site, episode, parts}, async () => {
    entry.storeRelay.cut(directions);
    await sleep(episode.durationMs);
    entry.storeRelay.restore();
  });
}

function putStoreIn({site, episode}: Stage, mode: StoreMode): Promise<void> {
  return disturb({site, episode, parts: [STORE]}, async () => {
    await site.store.ask('setMode', mode);
    await sleep(episode.durationMs);
    await site.store.ask('setMode', StoreMode.UP);
  });
}

/** A target says that it leaves, serves on for a time, and ends. */
async function leave({site, target, episode}: Stage): Promise<void> {
  await target.register('draining');
  site.history.leavings.push({target: target.id, ackMs: Date.now()});
  await sleep(LEAVE_MS + STAY_MS);
  await disturbTargets({site, episode}, [target], () =>
    site.replaceTarget(target, episode.durationMs),
  );
}

function directionOf({variant}: Episode): Direction {
  return variant < 0.5 ? Direction.TO_DESTINATION : Direction.TO_CALLER;
}
