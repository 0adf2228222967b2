/** Divides the slack of the exposure among the entries. */
import {createHash} from 'node:crypto';

import {SLACK_PART} from './consts.js';

/**
 * Returns how many requests an entry may send to a new version beyond its share
 * of the own requests, so that the sum over all entries stays within the slack.
 * If there are more entries than requests, some of them have one each.
 *
 * @example
 * slackShare({slack: 50, vm: 'edge-1', entries, order: record.id}); // 13
 */
export function slackShare(options: {
  slack: number;
  vm: string;
  /** VMs of all entries; undefined while they are not known. */
  entries?: readonly string[];
  order: string;
}): number {
  const {slack, vm, entries, order} = options;
  if (entries === undefined) return 0;
  const all = [...new Set([...entries, vm])];
  const total = Math.floor(slack * SLACK_PART);
  const each = Math.floor(total / all.length);
  if (each > 0) return each;
  const scoreOf = (name: string) =>
    createHash('sha1').update(`${order}\n${name}`).digest('hex');
  const own = scoreOf(vm);
  const rank = all.filter((other) => scoreOf(other) < own).length;
  return rank < total ? 1 : 0;
}
