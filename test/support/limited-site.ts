/** Sends requests to a site some of whose targets name a limit. */
import {Agent} from 'node:http';

import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import type {SiteResponse} from '../../tools/lab/site-caller.js';
import type {DirectSite} from './direct-site.js';
import {sleep} from './poison-scenario.js';

/** Time after a target first named its limit in which it may be exceeded. */
export const LIMIT_GRACE_MS = 3_000;

/** Window in which the requests to a target are counted, in milliseconds. */
const WINDOW_MS = 4_000;

/** Requests in a window beyond what the limit allows, by the users' rule. */
const MAX_EXCESS = 5;

/** Factor on the limit that the users' rule allows. */
const MAX_FACTOR = 1.5;

const MS_PER_S = 1_000;

const PACE = {events: 3, firstMs: 10, gapMs: 5};

/** A response and how long its caller waited for it. */
export interface TimedResponse extends SiteResponse {
  /** When it was sent, on the monotonic clock. */
  readonly sentAtMs: number;
  readonly tookMs: number;
}

/** How requests are sent. */
export interface Traffic {
  readonly path: SitePath;
  readonly perSecond: number;
  readonly forMs: number;
  /** Indices of the entries that get them, in turn. */
  readonly entries: readonly number[];
}

/**
 * Starts targets that serve a path, one in each data centre in turn.
 *
 * @example
 * const [limited] = await addTargetsOf(site, {path: SitePath.SAFE, count: 3});
 */
export function addTargetsOf(
  site: DirectSite,
  options: {path: SitePath; count: number},
): Promise<StandInTarget[]> {
  const {path, count} = options;
  const isStream = path === SitePath.STREAM;
  const service = isStream ? SiteService.WRITERS : SiteService.DESK;
  const pace = isStream ? PACE : undefined;
  const zones = ['a', 'b', 'c'];
  return site.addTargets(
    Array.from({length: count}, (_, i) => ({
      service,
      zone: zones[i % zones.length]!,
      pace,
    })),
  );
}

/**
 * Sends requests at even intervals; returns the responses.
 *
 * @example
 * await sendTraffic(site, {path, perSecond: 40, forMs: 8_000, entries: [0, 1]});
 */
export async function sendTraffic(
  site: DirectSite,
  {path, perSecond, forMs, entries}: Traffic,
): Promise<TimedResponse[]> {
  const startMs = performance.now();
  const total = Math.round((perSecond * forMs) / MS_PER_S);
  const responses: Array<Promise<TimedResponse>> = [];
  for (let i = 0; i < total; i++) {
    const dueMs = startMs + (i * MS_PER_S) / perSecond;
    await sleep(Math.max(0, dueMs - performance.now()));
    const entry = entries[i % entries.length]!;
    responses.push(callTimed(site, {path, entry}));
  }
  return Promise.all(responses);
}

async function callTimed(
  site: DirectSite,
  call: {path: SitePath; entry: number},
): Promise<TimedResponse> {
  const sentAtMs = performance.now();
  const res = await site.call({...call, agent: new Agent()});
  return {...res, sentAtMs, tookMs: performance.now() - sentAtMs};
}

/**
 * Most requests that a target may get in a window by the users' rule.
 *
 * @example
 * allowedInWindow(2.6); // 20
 */
export function allowedInWindow(perSecond: number): number {
  const windowS = WINDOW_MS / MS_PER_S;
  return Math.floor(MAX_FACTOR * perSecond * windowS + MAX_EXCESS);
}

/**
 * Most requests that a target got in any window from a time on.
 *
 * @example
 * mostInWindow(target, startMs + LIMIT_GRACE_MS);
 */
export function mostInWindow(target: StandInTarget, fromMs: number): number {
  return mostOf(target.arrivedAtMs.filter((atMs) => atMs >= fromMs));
}

/**
 * Most of some times that lie in one window; they are in ascending order.
 *
 * @example
 * mostOf([0, 10, 5_000]); // 2
 */
export function mostOf(times: readonly number[]): number {
  return times.reduce((most, startMs, i) => {
    const inWindow = times.slice(i).filter((t) => t < startMs + WINDOW_MS);
    return Math.max(most, inWindow.length);
  }, 0);
}

/**
 * Requests a second that a target got from a time on.
 *
 * @example
 * rateSince(target, startMs + LIMIT_GRACE_MS);
 */
export function rateSince(target: StandInTarget, fromMs: number): number {
  const spanS = (performance.now() - fromMs) / MS_PER_S;
  return target.arrivedAtMs.filter((atMs) => atMs >= fromMs).length / spanS;
}
