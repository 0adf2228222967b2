/** One soak run: starts a site, callers and faults, then runs the checks. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

import {LoadBalancer, SoakCaller} from './callers.js';
import type {Violation} from './checks/index.js';
import {findViolations} from './checks/index.js';
import {
  CALLERS_PER_ENTRY,
  FAULT_AFTERMATH_MS,
  MAX_UPLOAD_BYTES,
} from './consts.js';
import {injectFault} from './faults.js';
import {History} from './history.js';
import type {PlannedFault} from './plan.js';
import {createPlan} from './plan.js';
import {injectStartFault} from './start-faults.js';
import type {PlannedStartFault} from './start-plan.js';
import {createStartPlan} from './start-plan.js';
import type {SiteSize} from './site.js';
import {SoakSite} from './site.js';
import {monitorTimerLag} from './timer-lag.js';
import {injectWireFault} from './wire-faults.js';
import type {PlannedWireFault} from './wire-plan.js';
import {createWirePlan} from './wire-plan.js';

/** Parameters of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly size: SiteSize;
  /** Whether entries are signalled while they start; see `createStartPlan`. */
  readonly hasStartFaults: boolean;
  /**
   * Whether crowds play, targets respond early and callers upload; see
   * `createWirePlan`.
   */
  readonly hasWireFaults: boolean;
  /** Folder for settings, logs, the plan and the history. */
  readonly folder: string;
}

/** Result of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly violations: readonly Violation[];
  /** Number of requests that callers sent. */
  readonly requests: number;
  /** Number of requests with status 200. */
  readonly served: number;
  /** Number of planned faults. */
  readonly faults: number;
  /** Longest delay of a timer in the soak's own process, in milliseconds. */
  readonly lagMs: number;
}

/** Offset between the caller seeds of two runs, so that no seed is reused. */
const SEEDS_PER_RUN = 10_000;

/**
 * Runs the soak with one seed.
 *
 * @example
 * const {violations} = await runSoak({seed: 7, durationMs, size, folder});
 */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {seed, durationMs, size, folder, hasWireFaults} = options;
  mkdirSync(folder, {recursive: true});
  const plan = createPlan({seed, durationMs});
  const startPlan = options.hasStartFaults
    ? createStartPlan({seed, durationMs})
    : [];
  const wirePlan = hasWireFaults ? createWirePlan({seed, durationMs}) : [];
  const plans = {plan, startPlan, wirePlan};
  const history = new History();
  const maxBodyBytes = hasWireFaults ? MAX_UPLOAD_BYTES : undefined;
  const site = new SoakSite(history, {folder, size, maxBodyBytes});
  try {
    await site.start();
    await runPlans(plans, {site, durationMs, seed, hasWireFaults});
  } finally {
    await site.close();
    writeArtifacts(folder, {...plans, history});
  }
  const {attempts, lagMs} = history;
  return {
    seed,
    violations: findViolations(history),
    requests: attempts.length,
    served: attempts.filter(({status}) => status === 200).length,
    faults: plan.length + startPlan.length + wirePlan.length,
    lagMs: Math.round(lagMs),
  };
}

/** The planned faults of a run. */
interface Plans {
  readonly plan: readonly PlannedFault[];
  readonly startPlan: readonly PlannedStartFault[];
  readonly wirePlan: readonly PlannedWireFault[];
}

async function runPlans(
  {plan, startPlan, wirePlan}: Plans,
  options: {
    site: SoakSite;
    durationMs: number;
    seed: number;
    hasWireFaults: boolean;
  },
): Promise<void> {
  const {site, durationMs, seed, hasWireFaults} = options;
  const {history} = site;
  const stopMonitor = monitorTimerLag((lagMs) => {
    history.lagMs = Math.max(history.lagMs, lagMs);
  });
  const balancer = new LoadBalancer(site.entries);
  const count = site.entries.length * CALLERS_PER_ENTRY;
  const callers = Array.from({length: count}, (_, index) => {
    const callerSeed = seed * SEEDS_PER_RUN + index;
    return new SoakCaller(
      `c${index}`,
      callerSeed,
      site,
      balancer,
      hasWireFaults,
    );
  });
  const probing = balancer.run();
  const callerRuns = callers.map((caller) => caller.run());
  const startMs = Date.now();
  await Promise.all([
    injectAll(plan, (fault) => injectFault(site, fault)),
    injectAll(startPlan, (fault) => injectStartFault(site, fault)),
    injectAll(wirePlan, (fault) => injectWireFault(site, fault)),
  ]);
  history.calmFromMs = Date.now() + FAULT_AFTERMATH_MS;
  const endMs = Math.max(
    startMs + durationMs,
    history.calmFromMs + FAULT_AFTERMATH_MS,
  );
  await sleep(endMs - Date.now());
  for (const caller of callers) caller.stop();
  await Promise.all(callerRuns);
  balancer.stop();
  await probing;
  stopMonitor();
  history.endMs = Date.now();
  await Promise.all(site.entries.map((entry) => entry.recordTaskFailures()));
}

/** Injects each fault of a plan at its time; resolves when all have ended. */
async function injectAll<T extends {readonly atMs: number}>(
  plan: readonly T[],
  inject: (planned: T) => Promise<void>,
): Promise<void> {
  const injections = plan.map(async (planned) => {
    await sleep(planned.atMs);
    await inject(planned);
  });
  await Promise.all(injections);
}

/** Writes each artifact to a JSON file of its name, to diagnose violations. */
function writeArtifacts(
  folder: string,
  artifacts: Plans & {history: History},
): void {
  for (const [name, content] of Object.entries(artifacts)) {
    const text = JSON.stringify(content, null, 1);
    writeFileSync(join(folder, `${name}.json`), text);
  }
}
