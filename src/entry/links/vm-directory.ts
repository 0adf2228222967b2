/** Reads the platform's VM list onto the board. */
import type {Clock, TimerHandle} from '../../core/clock/index.js';
import type {VmList, VmRecord} from '../../core/edges/index.js';
import {VmRole} from '../../core/edges/index.js';
import {VM_LIST_PERIOD_MS} from '../consts.js';
import type {EntryBoard} from '../entry-board.js';

/** Keeps the last list that could be read. */
export class VmDirectory {
  private timer: TimerHandle | undefined;
  private reading = false;

  constructor(
    private readonly options: {
      board: EntryBoard;
      clock: Clock;
      vmList: VmList;
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

  private take(records: readonly VmRecord[]): void {
    const {vms} = this.options.board;
    const hadTargets = vms.get().some(isTarget);
    // A list that lost every target at once is not believed: the links tell.
    if (hadTargets && !records.some(isTarget)) return;
    vms.set(records);
  }

  private refresh(): void {
    if (this.reading) return;
    this.reading = true;
    void this.options.vmList
      .read()
      .match(
        (records) => this.take(records),
        // The last list stays in use; links tell what is alive.
        () => undefined,
      )
      .then(() => {
        this.reading = false;
      });
  }
}

function isTarget(vm: VmRecord): boolean {
  return vm.role === VmRole.TARGET;
}
