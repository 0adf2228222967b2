/** Computes this entry's share of the targets' capacity. */
import type {EntryCapacity, ServiceSlots} from '../core/admission/index.js';
import {computeSlots, RESUME_SHARE} from '../core/admission/index.js';
import type {Clock, TimerHandle} from '../core/clock/index.js';
import type {
  RecoveryConfig,
  ServiceConfig,
  SiteConfig,
} from '../core/config/index.js';
import {ServiceKind, RecoveryGoal} from '../core/config/index.js';
import type {VmRecord} from '../core/edges/index.js';
import {VmRole, VmState} from '../core/edges/index.js';
import type {TargetView} from '../core/routing/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import type {EntryBoard} from './entry-board.js';

/** Period at which the share is computed, in milliseconds. */
export const CAPACITY_PERIOD_MS = 100;

/** Computes the share periodically from the targets' views and the VM list. */
export class CapacityController {
  private timer: TimerHandle | undefined;

  constructor(
    private readonly options: {
      board: EntryBoard;
      clock: Clock;
      views: () => readonly TargetView[];
      supervisor: Supervisor;
    },
  ) {}

  open(): void {
    const {clock, supervisor} = this.options;
    this.timer = clock.repeat({
      periodMs: CAPACITY_PERIOD_MS,
      run: supervisor.guard({name: TaskName.TARGETS}, () => this.refresh()),
    });
  }

  close(): void {
    this.timer?.cancel();
  }

  private refresh(): void {
    const {board, views} = this.options;
    const cfg = board.config.get().extract()?.cfg;
    if (cfg === undefined) return;
    const vms = board.vms.get();
    board.capacity.set(computeEntryCapacity({cfg, vms, views: views()}));
  }
}

/**
 * Computes this entry's slots at the targets of each service.
 *
 * @example
 * computeEntryCapacity({cfg, vms, views});
 */
export function computeEntryCapacity(options: {
  cfg: Pick<SiteConfig, 'services' | 'recovery'>;
  vms: readonly VmRecord[];
  views: readonly TargetView[];
}): EntryCapacity {
  const {cfg, vms, views} = options;
  const {services, recovery} = cfg;
  const liveEntries = Math.max(1, vms.filter(isLiveEntry).length);
  return {
    liveEntries,
    services: services.map((service) => {
      const serviceViews = views.filter(
        (view) => view.service === service.name,
      );
      const listedTargets = vms.filter(
        (vm) => vm.service === service.name,
      ).length;
      const resumeShare = resumeShareOf({service, recovery});
      return computeServiceSlots({
        service,
        views: serviceViews,
        listedTargets,
        liveEntries,
        resumeShare,
      });
    }),
  };
}

function computeServiceSlots(options: {
  service: ServiceConfig;
  views: readonly TargetView[];
  listedTargets: number;
  liveEntries: number;
  resumeShare: number;
}): ServiceSlots {
  const {service, views, listedTargets, liveEntries, resumeShare} = options;
  // If each entry watches a subset of the targets, fewer entries share each
  // target.
  const watchedShare =
    listedTargets === 0 ? 1 : Math.min(1, views.length / listedTargets);
  const entriesPerTarget = Math.max(1, liveEntries * watchedShare);
  const slots = computeSlots({views, entryCount: entriesPerTarget});
  const resumeSlots = Math.floor(slots * resumeShare);
  return {service: service.name, slots, resumeSlots};
}

/**
 * Share of the slots that is reserved for resumes. Plain calls are never
 * resumed. A deployment that optimizes for resources leaves no engine idle,
 * so it reserves none and a resume takes the next free slot.
 */
function resumeShareOf(options: {
  service: ServiceConfig;
  recovery: RecoveryConfig;
}): number {
  const {service, recovery} = options;
  if (service.kind === ServiceKind.PLAIN) return 0;
  return recovery.weigh === RecoveryGoal.LATENCY ? RESUME_SHARE : 0;
}

function isLiveEntry(vm: VmRecord): boolean {
  return vm.role === VmRole.ENTRY && vm.state === VmState.LIVE;
}
