/** Reads the platform's VM list onto the board. */
import type {Clock, TimerHandle} from '../core/clock/index.js';
import type {VmList} from '../core/edges/index.js';
import {VM_LIST_PERIOD_MS} from './consts.js';
import type {EntryBoard} from './entry-board.js';

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

  private refresh(): void {
    if (this.reading) return;
    this.reading = true;
    void this.options.vmList
      .read()
      .match(
        (records) => this.options.board.vms.set(records),
        // The last list stays in use; links tell what is alive.
        () => undefined,
      )
      .then(() => {
        this.reading = false;
      });
  }
}
