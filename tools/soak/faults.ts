/** Injects the planned faults into a site. */
import {setTimeout as sleep} from 'node:timers/promises';

import {StoreObjectKind} from '../../platform/names.js';
import {Direction} from '../../stand-ins/relay/relay.js';
import {StoreMode} from '../../stand-ins/site/store.js';
import {FAULTS_OUTSIDE_SOAK} from '../../stand-ins/site/endless-response.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import {
  entryComponent,
  settingsComponent,
  targetComponent,
} from './checks/index.js';
import {DRAIN_NOTICE_MS, RESTART_DELAY_MS, ZONES} from './consts.js';
import {STORE_COMPONENT} from './history.js';
import type {PlannedFault} from './plan.js';
import {FaultKind} from './plan.js';
import type {FaultScope} from './recorded-fault.js';
import {withRecordedFault} from './recorded-fault.js';
import type {SoakSite} from './site.js';
import type {SoakEntry} from './soak-entry.js';
import type {SoakTarget} from './soak-target.js';

/** Largest step of a wall clock, either way, in milliseconds. */
const MAX_CLOCK_STEP_MS = 120_000;

/** Longest delay that a relay adds to the data of a target. */
const MAX_DELAY_MS = 400;

/** Time for which a draining target keeps running after `DRAIN_NOTICE_MS`. */
const DRAIN_EXTENSION_MS = 1_500;

/** A planned fault and the components that its value `part` selects. */
interface FaultContext {
  readonly site: SoakSite;
  readonly planned: PlannedFault;
  readonly entry: SoakEntry;
  readonly target: SoakTarget;
  /** All targets of one zone. */
  readonly zone: readonly SoakTarget[];
}

/** Starts a fault, waits for its duration, and ends it. */
type FaultInjector = (context: FaultContext) => Promise<void>;

const INJECTORS: Readonly<Record<FaultKind, FaultInjector>> = {
  [FaultKind.ENTRY_KILL]: ({site, entry, planned}) =>
    withRecordedFault(
      {site, planned, components: [entryComponent(entry.name)]},
      async () => {
        if (!entry.isUp) return;
        await entry.kill();
        await sleep(planned.durationMs);
        await entry.startProcess();
      },
    ),
  [FaultKind.ENTRY_PAUSE]: ({site, entry, planned}) =>
    withRecordedFault(
      {site, planned, components: [entryComponent(entry.name)]},
      async () => {
        entry.pause();
        await sleep(planned.durationMs);
        entry.resume();
      },
    ),
  // A graceful shutdown is not recorded as a fault: it must not interrupt
  // requests.
  [FaultKind.ENTRY_STOP]: async ({entry}) => {
    if (!entry.isUp) return;
    await entry.stop();
    await sleep(RESTART_DELAY_MS);
    await entry.startProcess();
  },
  [FaultKind.ENTRY_CLOCK_STEP]: ({site, entry, planned}) =>
    withRecordedFault(
      {site, planned, components: [entryComponent(entry.name)]},
      async () => {
        entry.stepClock((planned.variant - 0.5) * 2 * MAX_CLOCK_STEP_MS);
        await sleep(planned.durationMs);
        entry.stepClock(0);
      },
    ),
  // Not recorded as a fault of the entry: an incomplete settings file must not
  // affect requests. It does hold up a start.
  [FaultKind.ENTRY_SETTINGS_TORN]: ({site, entry, planned}) =>
    withRecordedFault(
      {site, planned, components: [settingsComponent(entry.name)]},
      async () => {
        entry.writeSettings(planned.variant);
        await sleep(planned.durationMs);
        entry.writeSettings();
      },
    ),
  [FaultKind.ENTRY_STORE_CUT]: (context) => disconnectFromStore(context),
  [FaultKind.ENTRY_STORE_ONE_WAY]: (context) =>
    disconnectFromStore(context, [directionOf(context.planned)]),
  [FaultKind.ENTRY_STORE_RESET]: ({site, entry, planned}) =>
    withRecordedFault(
      {site, planned, components: [entryComponent(entry.name)]},
      () => {
        entry.storeRelay.reset();
        return Promise.resolve();
      },
    ),
  [FaultKind.STORE_BUSY]: (context) => setStoreMode(context, StoreMode.BUSY),
  [FaultKind.STORE_SILENT]: (context) =>
    setStoreMode(context, StoreMode.SILENT),
  [FaultKind.STORE_RESET]: (context) => setStoreMode(context, StoreMode.RESET),
  [FaultKind.STORE_PAUSE]: ({site, planned}) =>
    withRecordedFault(
      {site, planned, components: [STORE_COMPONENT]},
      async () => {
        site.store.proc.pause();
        await sleep(planned.durationMs);
        site.store.proc.resume();
      },
    ),
  [FaultKind.STORE_HISTORY_LOST]: ({site, planned}) =>
    withRecordedFault({site, planned, components: [STORE_COMPONENT]}, () =>
      site.store.execute('dropHistory', undefined),
    ),
  [FaultKind.STORE_WAITERS_CUT]: ({site, planned}) =>
    withRecordedFault({site, planned, components: [STORE_COMPONENT]}, () =>
      site.store.execute('cutWaiters', undefined),
    ),
  // Another writer stores a malformed target; other targets must not be
  // affected.
  [FaultKind.STORE_JUNK]: async ({site, planned}) => {
    const malformed = {
      kind: StoreObjectKind.TARGETS,
      name: `junk-${planned.atMs}`,
    };
    const spec = {service: 7, address: 'nowhere', state: planned.variant};
    await site.store.execute('put', {...malformed, spec});
    await sleep(planned.durationMs);
    await site.store.execute('remove', malformed);
  },
  [FaultKind.TARGET_KILL]: ({site, target, planned}) =>
    withRecordedTargetFaults({site, planned}, [target], () =>
      site.replaceTarget(target, planned.durationMs),
    ),
  [FaultKind.TARGET_PAUSE]: ({site, target, planned}) =>
    withRecordedTargetFaults({site, planned}, [target], async () => {
      target.standIn.proc.pause();
      await sleep(planned.durationMs);
      target.standIn.proc.resume();
    }),
  [FaultKind.TARGET_LEAVE]: (context) => drainTarget(context),
  [FaultKind.TARGET_FAULTY]: ({site, target, planned}) => {
    const faults = Object.values(TargetFault).filter(
      (each) => !FAULTS_OUTSIDE_SOAK.has(each),
    );
    const fault = faults[Math.floor(planned.variant * faults.length)]!;
    return withRecordedTargetFaults({site, planned}, [target], () =>
      site.applyTargetFault(target, fault, planned.durationMs),
    );
  },
  [FaultKind.TARGET_CUT]: ({site, target, planned}) =>
    withRecordedTargetFaults({site, planned}, [target], () =>
      site.disconnectTargets([target], planned.durationMs),
    ),
  [FaultKind.TARGET_ONE_WAY]: ({site, target, planned}) =>
    withRecordedTargetFaults({site, planned}, [target], () =>
      site.disconnectTargets([target], planned.durationMs, [
        directionOf(planned),
      ]),
    ),
  [FaultKind.TARGET_RESET]: ({site, target, planned}) =>
    withRecordedTargetFaults({site, planned}, [target], () => {
      target.relay.reset();
      return Promise.resolve();
    }),
  [FaultKind.TARGET_DELAY]: ({site, target, planned}) =>
    withRecordedTargetFaults({site, planned}, [target], async () => {
      target.relay.delay(planned.variant * MAX_DELAY_MS);
      await sleep(planned.durationMs);
      target.relay.restore();
    }),
  [FaultKind.ZONE_KILL]: ({site, zone, planned}) =>
    withRecordedTargetFaults({site, planned}, zone, async () => {
      const {durationMs} = planned;
      await Promise.all(
        zone.map((target) => site.replaceTarget(target, durationMs)),
      );
    }),
  [FaultKind.ZONE_CUT]: ({site, zone, planned}) =>
    withRecordedTargetFaults({site, planned}, zone, () =>
      site.disconnectTargets(zone, planned.durationMs),
    ),
  [FaultKind.CONFIG_CHANGE]: ({site}) => site.changeConfig(),
};

/**
 * Injects one fault and resolves when it has ended.
 *
 * @example
 * await injectFault(site, {kind: FaultKind.TARGET_KILL, ...});
 */
export async function injectFault(
  site: SoakSite,
  planned: PlannedFault,
): Promise<void> {
  const pick = <T>(candidates: readonly T[]): T =>
    candidates[Math.floor(planned.part * candidates.length)]!;
  const zoneName = pick(ZONES);
  const zone = site.targets.filter((target) => target.zone === zoneName);
  const entry = pick(site.entries);
  const target = pick(site.targets);
  // All targets may be down at the same time.
  if (target === undefined) return;
  await INJECTORS[planned.kind]({site, planned, entry, target, zone});
}

function withRecordedTargetFaults(
  scope: FaultScope,
  targets: readonly SoakTarget[],
  inject: () => Promise<void>,
): Promise<void> {
  const components = targets.map(({id}) => targetComponent(id));
  return withRecordedFault({...scope, components}, inject);
}

function disconnectFromStore(
  {site, entry, planned}: FaultContext,
  directions?: readonly Direction[],
): Promise<void> {
  const components = [entryComponent(entry.name)];
  return withRecordedFault({site, planned, components}, async () => {
    entry.storeRelay.cut(directions);
    await sleep(planned.durationMs);
    entry.storeRelay.restore();
  });
}

function setStoreMode(
  {site, planned}: FaultContext,
  mode: StoreMode,
): Promise<void> {
  return withRecordedFault(
    {site, planned, components: [STORE_COMPONENT]},
    async () => {
      await site.store.execute('setMode', mode);
      await sleep(planned.durationMs);
      await site.store.execute('setMode', StoreMode.UP);
    },
  );
}

/** Registers a target as draining, lets it serve for a time, replaces it. */
async function drainTarget({
  site,
  target,
  planned,
}: FaultContext): Promise<void> {
  await target.register('draining');
  site.history.leavings.push({target: target.id, ackMs: Date.now()});
  await sleep(DRAIN_NOTICE_MS + DRAIN_EXTENSION_MS);
  await withRecordedTargetFaults({site, planned}, [target], () =>
    site.replaceTarget(target, planned.durationMs),
  );
}

function directionOf({variant}: PlannedFault): Direction {
  return variant < 0.5 ? Direction.TO_DESTINATION : Direction.TO_CALLER;
}
