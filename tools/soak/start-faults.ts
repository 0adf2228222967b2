/** Injects the planned faults around the starts of entries. */
import {setTimeout as sleep} from 'node:timers/promises';

import type {RandomSource} from '../../src/core/clock/index.js';
import {entryComponent} from './checks/index.js';
import {RESTART_DELAY_MS} from './consts.js';
import {PortHolder} from './port-holder.js';
import {withRecordedFault} from './recorded-fault.js';
import type {SoakSite} from './site.js';
import type {SoakEntry} from './soak-entry.js';
import type {PlannedStartFault} from './start-plan.js';
import {createSeriesRandom, StartFaultKind} from './start-plan.js';

/** SIGHUPs of a series, and the longest time between two. */
const START_RELOADS = 40;
const MAX_RELOAD_GAP_MS = 25;

/** Fewest and most planned stops of a series of starts. */
const MIN_STOPS = 3;
const MAX_STOPS = 6;

/** Latest planned stop after a program first handles signals. */
const MAX_STOP_DELAY_MS = 900;

/** Times for which a port stays in use after the program handles signals. */
const MIN_HELD_MS = 500;
const MAX_HELD_MS = 4_000;

/** Share of the ports that stay in use. */
const HELD_SHARE = 0.6;

/** Longest time between two changes of the settings. */
const MAX_CHANGE_GAP_MS = 60;

interface StartFaultContext {
  readonly site: SoakSite;
  readonly planned: PlannedStartFault;
  readonly entry: SoakEntry;
  /** An entry beside it. */
  readonly other: SoakEntry;
  readonly random: RandomSource;
}

type StartFaultInjector = (context: StartFaultContext) => Promise<void>;

const INJECTORS: Readonly<Record<StartFaultKind, StartFaultInjector>> = {
  [StartFaultKind.START_RELOADS]: async ({entry, random}) => {
    if (!(await stop(entry))) return;
    const started = entry.startProcess();
    const {current} = entry;
    await current.handlesSignals;
    for (let sent = 0; sent < START_RELOADS && current.isRunning; sent++) {
      current.reload();
      await sleep(random.below(MAX_RELOAD_GAP_MS));
    }
    await started;
  },
  // Graceful shutdowns are not recorded as faults: they must not interrupt
  // requests.
  [StartFaultKind.START_STOPS]: async ({entry, random}) => {
    const stops = MIN_STOPS + random.below(MAX_STOPS - MIN_STOPS + 1);
    if (!(await stop(entry))) return;
    for (let stopped = 1; stopped < stops; stopped++) {
      void entry.startProcess();
      const {current} = entry;
      await current.handlesSignals;
      await sleep(random.below(MAX_STOP_DELAY_MS));
      // Another fault may have taken the process down, and starts the next.
      if (entry.current !== current || !(await stop(entry))) return;
    }
    await entry.startProcess();
  },
  [StartFaultKind.RESTART_RELOADS]: async ({entry, other, random}) => {
    let isDone = false;
    const restarts = Promise.all([restart(entry), restart(other)]);
    const done = restarts.finally(() => (isDone = true));
    while (!isDone) {
      entry.writeChangedSettings(random.float());
      await sleep(random.below(MAX_CHANGE_GAP_MS));
    }
    entry.writeSettings();
    await done;
  },
  [StartFaultKind.PORTS_HELD]: async ({site, planned, entry, random}) => {
    if (!(await stop(entry))) return;
    const {host} = entry.callersEndpoint;
    const ports = entry.listeningPorts.filter(
      () => random.float() < HELD_SHARE,
    );
    const holders = await Promise.all(
      ports.map((port) => PortHolder.start({host, port})),
    );
    const started = entry.startProcess();
    const components = [entryComponent(entry.name)];
    await withRecordedFault({site, planned, components}, async () => {
      await entry.current.handlesSignals;
      const releases = holders.map(async (holder) => {
        await sleep(MIN_HELD_MS + random.below(MAX_HELD_MS - MIN_HELD_MS));
        await holder.release();
      });
      await Promise.all(releases);
    });
    await started;
  },
};

/**
 * Injects one fault and resolves when it has ended.
 *
 * @example
 * await injectStartFault(site, {kind: StartFaultKind.START_STOPS, ...});
 */
export async function injectStartFault(
  site: SoakSite,
  planned: PlannedStartFault,
): Promise<void> {
  const {entries} = site;
  const index = Math.floor(planned.part * entries.length);
  await INJECTORS[planned.kind]({
    site,
    planned,
    entry: entries[index]!,
    other: entries[(index + 1) % entries.length]!,
    random: createSeriesRandom(planned.seed),
  });
}

/**
 * Stops an entry and waits until the next start is due. Returns whether this
 * call stopped it, as whoever takes a process down starts the next one.
 */
async function stop(entry: SoakEntry): Promise<boolean> {
  if (!entry.isUp) return false;
  await entry.stop();
  await sleep(RESTART_DELAY_MS);
  return true;
}

async function restart(entry: SoakEntry): Promise<void> {
  if (await stop(entry)) await entry.startProcess();
}
