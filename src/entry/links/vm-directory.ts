/** Copies the platform's VM list to the board. */
import type {Clock, TimerHandle} from '../../core/clock/index.js';
import type {VmList, VmRecord} from '../../core/edges/index.js';
import {VmRole} from '../../core/edges/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import {VM_LIST_PERIOD_MS} from '../consts.js';
import type {EntryBoard} from '../entry-board.js';

/** Reads the list periodically and keeps the last one that was read. */
export class VmDirectory {
  private timer: TimerHandle | undefined;
  private isReading = false;

  constructor(
    private readonly options: {
      board: EntryBoard;
      clock: Clock;
      vmList: VmList;
      supervisor: Supervisor;
    },
  ) {}

  open(): void {
    this.timer = this.options.clock.repeat({
      periodMs: VM_LIST_PERIOD_MS,
      run: () => this.refresh(),
    });
    this.refresh();
  }

  close(): void {
    this.timer?.cancel();
  }

  private update(records: readonly VmRecord[]): void {
    const {vms} = this.options.board;
    const hadTargets = vms.get().some(isTarget);
    // Ignore a list that lost all its targets at once: it is probably wrong,
    // and the links detect failed targets themselves.
    if (hadTargets && !records.some(isTarget)) return;
    vms.set(records);
  }

  private refresh(): void {
    if (this.isReading) return;
    const {supervisor} = this.options;
    supervisor.run({name: TaskName.VM_LIST}, () => this.read());
  }

  private async read(): Promise<void> {
    this.isReading = true;
    try {
      const records = await this.options.vmList.read();
      // After an error the last list stays in use; the links detect failed
      // targets.
      if (records.isOk()) this.update(records.value);
    } finally {
      this.isReading = false;
    }
  }
}

function isTarget(vm: VmRecord): boolean {
  return vm.role === VmRole.TARGET;
}
