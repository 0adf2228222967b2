import {WATCHERS_PER_TARGET, SUBSET_SIZE} from './consts.js';
import {isAmongFirst, rankByRendezvous} from './rendezvous.js';
import type {SubsetTarget} from './types.js';

/**
 * The targets that an entry watches: of each service those it draws for
 * itself, and each target for which it is one of the first entries it knows.
 * The second part leaves no target unwatched by the entries that see each
 * other, however few those are.
 *
 * @example
 * selectSubset({self: 'entry-1', entries: ['entry-2'], targets});
 */
export function selectSubset(options: {
  self: string;
  /** Names of the other entries; the own one may be among them. */
  entries: readonly string[];
  targets: readonly SubsetTarget[];
}): ReadonlySet<string> {
  const {self, entries, targets} = options;
  const services = new Set(targets.map(({service}) => service));
  const chosen = new Set<string>();
  for (const service of services) {
    const members = targets.filter((t) => t.service === service).map(vmOf);
    const drawn = drawOwn(self, members);
    drawn.forEach((vm) => chosen.add(vm));
    if (drawn.length === members.length) continue;
    const watch = {member: self, members: entries, count: WATCHERS_PER_TARGET};
    members
      .filter((vm) => isAmongFirst({key: vm, ...watch}))
      .forEach((vm) => chosen.add(vm));
  }
  return chosen;
}

function drawOwn(self: string, members: readonly string[]): readonly string[] {
  if (members.length <= SUBSET_SIZE) return members;
  return rankByRendezvous({key: self, members}).slice(0, SUBSET_SIZE);
}

function vmOf({vm}: SubsetTarget): string {
  return vm;
}
