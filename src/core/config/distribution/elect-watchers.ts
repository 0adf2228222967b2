import {rankByRendezvous} from '../../membership/rendezvous.js';
import {REMOTE_PEERS, WATCHERS_PER_DATA_CENTRE} from './consts.js';
import type {ConfigMember} from './types.js';

/**
 * Elects the entries of a data centre that watch the platform, from the members
 * known to one process. Processes with different member lists may elect
 * different watchers: this costs extra calls to the platform, but no version
 * is lost.
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
 * Selects the peers from which an entry receives the configuration: the
 * watchers of its data centre and an entry of another data centre. Each entry
 * ranks the remote entries by its own name, which spreads the load over them.
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
