/** Injects the planned crowds and early responses. */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import {Path} from '../../platform/names.js';
import {API_KEY, HOST, SitePath} from '../../stand-ins/site/config.js';
import {EarlyResponse} from '../../stand-ins/site/early-response.js';
import {ClientAct, Crowd} from '../crowd/crowd.js';
import {formatRequest} from '../crowd/request-text.js';
import {sendSiteRequest} from '../lab/site-caller.js';
import {targetComponent} from './checks/index.js';
import {CALL_DEADLINE_MS, CROWD_AFTERMATH_MS} from './consts.js';
import {withRecordedFault} from './recorded-fault.js';
import type {SoakSite} from './site.js';
import type {SoakEntry} from './soak-entry.js';
import type {PlannedWireFault} from './wire-plan.js';
import {WireFaultKind} from './wire-plan.js';

const CROWD_CLIENTS = 60;

/** Pause between two requests of which the first got no response. */
const ASK_AGAIN_MS = 100;

/** What the clients of a crowd send, and to which port. */
interface CrowdVariant {
  readonly path: string;
  readonly isAtReadiness: boolean;
}

const NO_ROUTE = '/none/1';

const CROWDS: readonly CrowdVariant[] = [
  // A served route without the usual headers.
  {path: SitePath.SAFE, isAtReadiness: false},
  {path: Path.READY, isAtReadiness: false},
  {path: NO_ROUTE, isAtReadiness: false},
  {path: Path.READY, isAtReadiness: true},
  {path: NO_ROUTE, isAtReadiness: true},
];

/** Parts of a 200 without length before a reset, and a status of 000. */
const EARLY_RESPONSES: readonly EarlyResponse[] = [
  EarlyResponse.RESET,
  EarlyResponse.CLOSING_RESET,
  EarlyResponse.EMPTY_RESET,
  EarlyResponse.LATER_RESET,
  EarlyResponse.STATUS_000,
];

/**
 * Injects one fault and resolves when it has ended.
 *
 * @example
 * await injectWireFault(site, {kind: WireFaultKind.CROWD, ...});
 */
export async function injectWireFault(
  site: SoakSite,
  planned: PlannedWireFault,
): Promise<void> {
  switch (planned.kind) {
    case WireFaultKind.CROWD:
      await playCrowd(site, planned);
      break;
    case WireFaultKind.EARLY_RESPONSE:
      await respondEarly(site, planned);
      break;
  }
}

/**
 * Plays a crowd at a running entry and asks it for a response afterwards. A
 * crowd is not recorded as a fault of the entry: it excuses nothing.
 */
async function playCrowd(
  site: SoakSite,
  planned: PlannedWireFault,
): Promise<void> {
  const entry = pick(
    site.entries.filter(({isUp}) => isUp),
    planned.part,
  );
  if (entry === undefined) return;
  const {lifetime} = entry;
  const {path, isAtReadiness} = pick(CROWDS, planned.variant)!;
  const endpoint = isAtReadiness
    ? entry.readinessEndpoint
    : entry.callersEndpoint;
  const fromMs = Date.now();
  const crowd = await Crowd.play({
    ...endpoint,
    act: ClientAct.SEND_AHEAD,
    text: formatRequest({path, headers: {Host: HOST}}),
    clients: CROWD_CLIENTS,
    playMs: planned.durationMs,
  });
  const toMs = Date.now();
  try {
    const isAnswered = await isAnsweredInTime(entry, lifetime);
    const {name} = entry;
    site.history.crowds.push({
      entry: name,
      lifetime,
      fromMs,
      toMs,
      isAnswered,
    });
  } finally {
    await crowd.stop();
  }
}

async function respondEarly(
  site: SoakSite,
  planned: PlannedWireFault,
): Promise<void> {
  const target = pick(site.targets, planned.part);
  // All targets may be down at the same time.
  if (target === undefined) return;
  const kind = pick(EARLY_RESPONSES, planned.variant)!;
  const components = [targetComponent(target.id)];
  await withRecordedFault({site, planned, components}, () =>
    site.applyEarlyResponse(target, kind, planned.durationMs),
  );
}

/** Asks the same process until it responds, for `CROWD_AFTERMATH_MS` at most. */
async function isAnsweredInTime(
  entry: SoakEntry,
  lifetime: number,
): Promise<boolean> {
  const signal = AbortSignal.timeout(CROWD_AFTERMATH_MS);
  const isSameProcess = () => entry.isUp && entry.lifetime === lifetime;
  for (let tries = 1; isSameProcess() && !signal.aborted; tries++) {
    const res = await sendSiteRequest({
      ...entry.callersEndpoint,
      agent: new Agent(),
      path: SitePath.SAFE,
      key: API_KEY,
      attemptId: `after-crowd-${entry.name}-${Date.now()}-${tries}`,
      deadlineMs: CALL_DEADLINE_MS,
      signal,
    }).catch(() => undefined);
    if (res !== undefined) return true;
    await sleep(ASK_AGAIN_MS);
  }
  return false;
}

function pick<T>(candidates: readonly T[], share: number): T | undefined {
  return candidates[Math.floor(share * candidates.length)];
}
