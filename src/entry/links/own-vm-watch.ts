/** Starts the drain of an entry when the VM list shows its VM as LEAVING. */
import type {VmRecord} from '../../core/edges/index.js';
import {VmState} from '../../core/edges/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {EntryBoard} from '../entry-board.js';

/**
 * Watches the record of the entry's own VM. The list lags and may still show
 * an earlier process of the same VM, so the drain starts only if the VM was
 * listed as LIVE before in this process's lifetime.
 */
export class OwnVmWatch {
  private wasLive = false;

  constructor(
    private readonly options: {
      board: EntryBoard;
      vm: string;
      onVmLeaving: () => void;
      supervisor: Supervisor;
    },
  ) {}

  open(): void {
    const {board, supervisor} = this.options;
    const task = {name: TaskName.SHUTDOWN};
    board.vms.subscribe(
      supervisor.guard(task, (records: readonly VmRecord[]) =>
        this.check(records),
      ),
    );
  }

  private check(records: readonly VmRecord[]): void {
    const own = records.find(({name}) => name === this.options.vm);
    if (own?.state === VmState.LIVE) this.wasLive = true;
    if (own?.state !== VmState.LEAVING || !this.wasLive) return;
    this.options.onVmLeaving();
  }
}
