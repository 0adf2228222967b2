import {rankByRendezvous} from '../../membership/rendezvous.js';
import {REMOTE_PEERS, WATCHERS_PER_DATA_CENTRE} from './consts.js';
import type {ConfigMember} from './types.js';

/**
 * The entries of a data centre that watch the platform, by what one process
 * knows of its members. Processes that know different members may elect
 * different watchers: that costs calls to the platform, never a version.
 *
 * @example
 * electWatchers({dataCentre: 'waw', members});
 */
export function electWatchers(options: {
  dataCentre: string;
  members: readonly ConfigMember[];
}): string[] {
  const {dataCentre, members} = options;
  const localMembers = members.filter(
    (member) => member.dataCentre === dataCentre,
  );
  const ranked = rankByRendezvous({
    key: dataCentre,
    members: localMembers.map(vmOf),
  });
  return ranked.slice(0, WATCHERS_PER_DATA_CENTRE);
}

/**
 * The peers that an entry hears the configuration from: the watchers of its
 * data centre, and an entry of another one, which each entry draws for
 * itself, so that those are spread.
 *
 * @example
 * selectConfigPeers({self: {vm: 'entry-1', dataCentre: 'waw'}, members});
 */
export function selectConfigPeers(options: {
  self: ConfigMember;
  members: readonly ConfigMember[];
}): string[] {
  const {self, members} = options;
  const others = members.filter(({vm}) => vm !== self.vm);
  const watchers = electWatchers({dataCentre: self.dataCentre, members});
  const remoteMembers = others.filter((m) => m.dataCentre !== self.dataCentre);
  const ranked = rankByRendezvous({
    key: self.vm,
    members: remoteMembers.map(vmOf),
  });
  const localWatchers = watchers.filter((vm) => vm !== self.vm);
  return [...localWatchers, ...ranked.slice(0, REMOTE_PEERS)];
}

function vmOf({vm}: ConfigMember): string {
  return vm;
}
