import {WATCHERS_PER_TARGET, SUBSET_SIZE} from './consts.js';
import {isAmongFirst, rankByRendezvous} from './rendezvous.js';
import type {SubsetTarget} from './types.js';

/**
 * Returns the targets that an entry watches: of each service its own subset,
 * and each target for which it ranks among the first `WATCHERS_PER_TARGET`
 * entries. The second part ensures that every target is watched by some of the
 * entries that see each other, however few those are.
 *
 * @example
 * selectSubset({self: 'entry-1', entries: ['entry-2'], targets});
 */
export function selectSubset(options: {
  /** Name of this entry. */
  self: string;
  /** Names of the other entries; `self` may be included. */
  entries: readonly string[];
  targets: readonly SubsetTarget[];
}): ReadonlySet<string> {
  const {self, entries, targets} = options;
  const services = new Set(targets.map(({service}) => service));
  const chosen = new Set<string>();
  for (const service of services) {
    const members = targets.filter((t) => t.service === service).map(vmOf);
    const ownSubset = selectOwnSubset(self, members);
    ownSubset.forEach((vm) => chosen.add(vm));
    if (ownSubset.length === members.length) continue;
    const watcherQuery = {
      member: self,
      members: entries,
      count: WATCHERS_PER_TARGET,
    };
    members
      .filter((vm) => isAmongFirst({key: vm, ...watcherQuery}))
      .forEach((vm) => chosen.add(vm));
  }
  return chosen;
}

function selectOwnSubset(
  self: string,
  members: readonly string[],
): readonly string[] {
  if (members.length <= SUBSET_SIZE) return members;
  return rankByRendezvous({key: self, members}).slice(0, SUBSET_SIZE);
}

function vmOf({vm}: SubsetTarget): string {
  return vm;
}
