/** One soak run: starts a site, callers and faults, then runs the checks. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

import {LoadBalancer, SoakCaller} from './callers.js';
import type {Violation} from './checks/index.js';
import {findViolations} from './checks/index.js';
import {CALLERS_PER_ENTRY, FAULT_AFTERMATH_MS} from './consts.js';
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

/** Parameters of a run. */
export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly size: SiteSize;
  /** Whether entries are signalled while they start; see `createStartPlan`. */
  readonly hasStartFaults: boolean;
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
  const {seed, durationMs, size, folder} = options;
  mkdirSync(folder, {recursive: true});
  const plan = createPlan({seed, durationMs});
  const startPlan = options.hasStartFaults
    ? createStartPlan({seed, durationMs})
    : [];
  const history = new History();
  const site = new SoakSite(history, {folder, size});
  try {
    await site.start();
    await runPlan({site, plan, startPlan, durationMs, seed});
  } finally {
    await site.close();
    writeArtifacts(folder, {plan, startPlan, history});
  }
  const {attempts, lagMs} = history;
  return {
    seed,
    violations: findViolations(history),
    requests: attempts.length,
    served: attempts.filter(({status}) => status === 200).length,
    faults: plan.length + startPlan.length,
    lagMs: Math.round(lagMs),
  };
}

async function runPlan(options: {
  site: SoakSite;
  plan: readonly PlannedFault[];
  startPlan: readonly PlannedStartFault[];
  durationMs: number;
  seed: number;
}): Promise<void> {
  const {site, plan, startPlan, durationMs, seed} = options;
  const {history} = site;
  const stopMonitor = monitorTimerLag((lagMs) => {
    history.lagMs = Math.max(history.lagMs, lagMs);
  });
  const balancer = new LoadBalancer(site.entries);
  const count = site.entries.length * CALLERS_PER_ENTRY;
  const callers = Array.from({length: count}, (_, index) => {
    const callerSeed = seed * SEEDS_PER_RUN + index;
    return new SoakCaller(`c${index}`, callerSeed, site, balancer);
  });
  const probing = balancer.run();
  const callerRuns = callers.map((caller) => caller.run());
  const startMs = Date.now();
  const injections = plan.map(async (fault) => {
    await sleep(fault.atMs);
    await injectFault(site, fault);
  });
  const startInjections = startPlan.map(async (fault) => {
    await sleep(fault.atMs);
    await injectStartFault(site, fault);
  });
  await Promise.all([...injections, ...startInjections]);
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

/** Writes each artifact to a JSON file of its name, to diagnose violations. */
function writeArtifacts(
  folder: string,
  artifacts: {
    plan: readonly PlannedFault[];
    startPlan: readonly PlannedStartFault[];
    history: History;
  },
): void {
  for (const [name, content] of Object.entries(artifacts)) {
    const text = JSON.stringify(content, null, 1);
    writeFileSync(join(folder, `${name}.json`), text);
  }
}
