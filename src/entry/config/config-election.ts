/** Elects the entries that watch the platform, and this entry's peers. */
import type {Clock, RandomSource, TimerHandle} from '../../core/clock/index.js';
import type {ConfigMember} from '../../core/config/distribution/index.js';
import {
  electWatchers,
  selectConfigPeers,
} from '../../core/config/distribution/index.js';
import type {VmRecord} from '../../core/edges/index.js';
import {VmRole, VmState} from '../../core/edges/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {ConfigActivator} from './config-activator.js';
import type {ConfigPeers} from './config-peers.js';
import type {ConfigSource} from './config-source.js';
import {
  MAX_CONFIG_READ_PERIOD_MS,
  CONFIG_STALE_MS,
  ELECTION_PERIOD_MS,
  PAUSE_DETECTION_MS,
  SILENT_PEER_RETRY_MS,
} from '../consts.js';
import type {EntryBoard} from '../entry-board.js';

/**
 * Repeats the election periodically and when the VM list changes. Silent peers
 * are excluded from it.
 */
export class ConfigElection {
  private timer: TimerHandle | undefined;
  private electedAtMs = 0;
  private readDelayMs = MAX_CONFIG_READ_PERIOD_MS;

  constructor(
    private readonly options: {
      board: EntryBoard;
      clock: Clock;
      random: RandomSource;
      self: ConfigMember;
      activator: ConfigActivator;
      source: ConfigSource;
      peers: ConfigPeers;
      supervisor: Supervisor;
    },
  ) {}

  open(): void {
    const {clock, source, board, supervisor} = this.options;
    const task = {name: TaskName.CONFIG};
    this.electedAtMs = clock.now();
    this.timer = clock.repeat({
      periodMs: ELECTION_PERIOD_MS,
      run: supervisor.guard(task, () => this.check()),
    });
    board.vms.subscribe(supervisor.guard(task, () => this.elect()));
    source.refresh();
  }

  close(): void {
    this.timer?.cancel();
  }

  private check(): void {
    const {clock, peers} = this.options;
    const lateMs = clock.now() - this.electedAtMs - ELECTION_PERIOD_MS;
    this.electedAtMs = clock.now();
    if (lateMs > PAUSE_DETECTION_MS) peers.resetSilence();
    this.elect();
    this.readIfStale();
  }

  private elect(): void {
    const {board, self, peers, source} = this.options;
    const entries = board.vms.get().filter(isLiveEntry);
    const silent = peers.findSilent(SILENT_PEER_RETRY_MS);
    const others = entries.filter(({name}) => name !== self.vm);
    const responsive = others.filter(({name}) => !silent.has(name));
    const members = [self, ...responsive.map(toMember)];
    const watchers = electWatchers({dataCentre: self.dataCentre, members});
    source.setWatching(watchers.includes(self.vm));
    const chosen = new Set(selectConfigPeers({self, members}));
    peers.setPeers(others.filter(({name}) => chosen.has(name)));
  }

  /**
   * Reads from the platform itself if no watcher has confirmed the version
   * recently. The random delay spreads the reads of several entries.
   */
  private readIfStale(): void {
    const {activator, source, random} = this.options;
    if (activator.ageMs() < CONFIG_STALE_MS) return;
    if (source.sinceReadMs() < this.readDelayMs) return;
    this.readDelayMs = MAX_CONFIG_READ_PERIOD_MS * (0.5 + random.float() / 2);
    source.refresh();
  }
}

function isLiveEntry(vm: VmRecord): boolean {
  return vm.role === VmRole.ENTRY && vm.state === VmState.LIVE;
}

function toMember({name, dataCentre}: VmRecord): ConfigMember {
  return {vm: name, dataCentre};
}
