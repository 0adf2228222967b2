/** Divides the limit of a target among entries. */
import {createHash} from 'node:crypto';

import {
  ASSUMED_ENTRIES,
  MIN_SHARERS,
  PROBE_SHARE,
  SHARERS_PER_REQUEST,
} from './consts.js';

/** Input of `createSharers`. */
export interface SharersQuery {
  /** VM of this entry. */
  readonly vm: string;
  /** VMs of all entries; undefined while they are not known. */
  readonly entries?: readonly string[];
  /** Incarnation of the target. */
  readonly target: string;
  /** Requests a second that the target takes. */
  readonly perSecond: number;
}

/** The shares of the entries in the limit of one target. */
export interface Sharers {
  /** Share of one entry, at most 1. */
  shareOf(vm: string): number;
}

/**
 * Divides a limit so that the shares of all entries sum up to about 1 without
 * any message between them. If they are more than could each send one request
 * at once, some of them, which differ from target to target, have the limit, and
 * the others only as much as shows them in the long run that it has ended.
 *
 * @example
 * createSharers({vm: 'edge-1', entries, target: 'i-1@7', perSecond: 2.6});
 */
export function createSharers(query: SharersQuery): Sharers {
  const {vm, entries, target, perSecond} = query;
  if (entries === undefined) return {shareOf: () => 1 / ASSUMED_ENTRIES};
  const all = [...new Set([...entries, vm])];
  const most = Math.floor(perSecond * SHARERS_PER_REQUEST) + MIN_SHARERS;
  if (all.length <= most) return {shareOf: () => 1 / all.length};
  const first = new Set(rank(all, target).slice(0, most));
  const probeShare = PROBE_SHARE / all.length;
  return {shareOf: (name) => (first.has(name) ? 1 / most : probeShare)};
}

function rank(vms: readonly string[], target: string): string[] {
  const scoreOf = (vm: string) =>
    createHash('sha1').update(`${target}\n${vm}`).digest('hex');
  return vms
    .map((vm) => ({vm, score: scoreOf(vm)}))
    .sort((a, b) => (a.score < b.score ? -1 : 1))
    .map(({vm}) => vm);
}
