/** Sends poison requests, which crash their targets, to a site in rounds. */
import {Agent} from 'node:http';

import type {Logger} from '../../src/core/logs/index.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import type {
  CrashRecord,
  RunRecord,
} from '../../stand-ins/site/target-types.js';
import type {SiteResponse} from '../../tools/lab/site-caller.js';
import {DirectSite} from './direct-site.js';

/** Requests with this text in the body crash the targets that run them. */
export const CRASH_MARK = 'ends-its-target';

/** Number of entries of the site, all with the same targets. */
export const ENTRIES = 3;

/** Time after which a crashed target restarts, in milliseconds. */
const RESTART_DELAY_MS = 400;

/** Time between two rounds of a caller, in milliseconds. */
const ROUND_PAUSE_MS = 60;

/** Time from a crash until the caller disconnects, in milliseconds. */
const HANG_UP_DELAY_MS = 15;

/** Time from the crash to the deadline of callers that time out, in ms. */
const SHORT_DEADLINE_MARGIN_MS = 80;

const ROUNDS = 12;

/** Number of events of a complete stream. */
export const EVENTS = 40;

const PACE = {events: EVENTS, firstMs: 30, gapMs: 5};

/** Longest expected time between two events, as timers may be late, in ms. */
const MAX_EVENT_MS = 6;

/** Number of targets in each of the site's data centres. */
export const TARGETS_PER_DATA_CENTRE = 3;

const ZONES = ['a', 'a', 'a', 'b', 'b', 'b', 'c', 'c', 'c'];

/** What a caller does after each crash. */
export enum CallerBehaviour {
  /** Waits for the response, then retries at another entry. */
  WAITS_FOR_RESPONSE = 'waits',
  HANGS_UP = 'hangs up',
  TIMES_OUT = 'times out',
  /** Calls all entries at the same time in every round. */
  ALL_ENTRIES = 'calls all entries at once',
}

/**
 * Starts a site of several entries and three data centres.
 *
 * @example
 * const site = await startPoisonSite(SitePath.STREAM);
 */
export async function startPoisonSite(
  path: SitePath,
  logger?: Logger,
): Promise<DirectSite> {
  const site = await DirectSite.start({entries: ENTRIES, logger});
  const isStream = path === SitePath.STREAM;
  const service = isStream ? SiteService.WRITERS : SiteService.DESK;
  const pace = isStream ? PACE : undefined;
  await site.addTargets(ZONES.map((zone) => ({service, zone, pace})));
  return site;
}

/** Options of a scenario. */
export interface PoisonScenarioOptions {
  readonly site: DirectSite;
  readonly path: SitePath;
  readonly caller: CallerBehaviour;
  /** Request bodies, each sent by a separate caller. */
  readonly bodies?: readonly string[];
  /** Events that a target sends before it crashes. */
  readonly afterEvents?: number;
  /** Called before each round; rounds are numbered from 0. */
  readonly beforeRound?: (round: number) => Promise<void> | void;
}

/**
 * Sends the requests in several rounds; crashed targets restart after a delay.
 *
 * @example
 * const caller = CallerBehaviour.HANGS_UP;
 * await runPoisonScenario({site, path, caller});
 */
export async function runPoisonScenario(
  options: PoisonScenarioOptions,
): Promise<void> {
  const {site, bodies = [CRASH_MARK], afterEvents = 0} = options;
  restartCrashedTargets(site, afterEvents);
  await Promise.all(bodies.map((body) => runRounds(options, body)));
  await sleep(RESTART_DELAY_MS * 2);
}

/** Makes targets crash on poison requests and restart after a delay. */
export function restartCrashedTargets(site: DirectSite, afterEvents = 0): void {
  for (const target of site.targets) {
    target.crashOn = {marker: CRASH_MARK, afterEvents};
    target.onCrash = () => {
      setTimeout(() => void site.restartTarget(target), RESTART_DELAY_MS);
    };
  }
}

/** Crashes and arrivals at targets of all poison requests, in order of time. */
export function crashingRequests(site: DirectSite): {
  crashes: CrashRecord[];
  arrivals: RunRecord[];
} {
  const byTime = (a: {atMs: number}, b: {atMs: number}) => a.atMs - b.atMs;
  return {
    crashes: site.targets.flatMap(({crashes}) => crashes).sort(byTime),
    arrivals: site.targets
      .flatMap(({runs}) => runs)
      .filter(({body}) => body.startsWith(CRASH_MARK))
      .sort(byTime),
  };
}

/** The targets of one of the site's data centres, numbered from 0. */
export function targetsInDataCentre(
  site: DirectSite,
  i: number,
): StandInTarget[] {
  const first = i * TARGETS_PER_DATA_CENTRE;
  return site.targets.slice(first, first + TARGETS_PER_DATA_CENTRE);
}

/** All crashes caused by requests with a body, in order of time. */
export function crashesOf(site: DirectSite, body = CRASH_MARK): CrashRecord[] {
  return site.targets
    .flatMap((target) => target.crashes)
    .filter((crash) => crash.body === body)
    .sort((a, b) => a.atMs - b.atMs);
}

/**
 * Counts the requests that reached targets more than `slackMs` after the third
 * crash.
 */
export function countRequestsAfterThirdCrash(
  site: DirectSite,
  slackMs: number,
  body = CRASH_MARK,
): number {
  const third = crashesOf(site, body)[2];
  if (third === undefined) return 0;
  return site.targets
    .flatMap((target) => target.runs)
    .filter((run) => run.body === body && run.atMs > third.atMs + slackMs)
    .length;
}

async function runRounds(
  options: PoisonScenarioOptions,
  body: string,
): Promise<void> {
  const {caller, beforeRound} = options;
  for (let round = 0; round < ROUNDS; round++) {
    await beforeRound?.(round);
    const entries =
      caller === CallerBehaviour.ALL_ENTRIES
        ? Array.from({length: ENTRIES}, (_, i) => i)
        : [round % ENTRIES];
    await Promise.all(entries.map((entry) => callOnce(options, body, entry)));
    await sleep(ROUND_PAUSE_MS);
  }
}

async function callOnce(
  {site, path, caller, afterEvents = 0}: PoisonScenarioOptions,
  body: string,
  entry: number,
): Promise<SiteResponse | undefined> {
  const hangUp = new AbortController();
  const crashesBefore = crashesOf(site, body).length;
  const watch = setInterval(() => {
    if (caller !== CallerBehaviour.HANGS_UP) return;
    if (crashesOf(site, body).length === crashesBefore) return;
    clearInterval(watch);
    setTimeout(() => hangUp.abort(), HANG_UP_DELAY_MS);
  }, 2);
  const crashMs = PACE.firstMs + afterEvents * MAX_EVENT_MS;
  const isShort = caller === CallerBehaviour.TIMES_OUT;
  const deadlineMs = isShort ? crashMs + SHORT_DEADLINE_MARGIN_MS : undefined;
  try {
    return await site.call({
      path,
      body,
      entry,
      agent: new Agent(),
      signal: hangUp.signal,
      ...(deadlineMs === undefined ? {} : {deadlineMs}),
    });
  } catch {
    // The caller disconnected, or its entry was stopped.
    return undefined;
  } finally {
    clearInterval(watch);
  }
}

/** Waits for a time in milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
