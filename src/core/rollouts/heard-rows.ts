/** What the other entries have told of a roll-out. */
import type {Clock} from '../clock/index.js';
import type {EvidenceCell, EvidenceRow} from './types.js';

/** The newest row of another entry. */
interface HeardRow {
  readonly row: EvidenceRow;
  readonly heardAtMs: number;
}

/**
 * Keeps the newest row of each other entry, and when it was heard. An entry lives
 * as long as it has not been silent for a time.
 *
 * @example
 * const rows = new HeardRows({clock, silenceMs: 3_000});
 * rows.hear(row);
 * rows.live();
 */
export class HeardRows {
  private readonly rows = new Map<string, HeardRow>();

  constructor(
    private readonly options: {
      clock: Clock;
      /** Silence after which an entry no longer counts as live. */
      silenceMs: number;
    },
  ) {}

  hear(row: EvidenceRow): void {
    const isNews = this.rows.get(row.vm)?.row.tick !== row.tick;
    const heardAtMs = this.options.clock.now();
    if (isNews) this.rows.set(row.vm, {row, heardAtMs});
  }

  /** Forgets an entry that has left. */
  forget(vm: string): void {
    this.rows.delete(vm);
  }

  /** Rows of the entries that have written lately. */
  live(): EvidenceRow[] {
    const earliestMs = this.options.clock.now() - this.options.silenceMs;
    return [...this.rows.values()]
      .filter(({heardAtMs}) => heardAtMs >= earliestMs)
      .map(({row}) => row);
  }

  /** Entries that have told something, but not lately. */
  silent(): string[] {
    const live = new Set(this.live().map(({vm}) => vm));
    return [...this.rows.keys()].filter((vm) => !live.has(vm));
  }

  /** Whether each of some entries has told something after a time. */
  haveAllTold(vms: Iterable<string>, sinceMs: number): boolean {
    return [...vms, ...this.rows.keys()].every(
      (vm) => (this.rows.get(vm)?.heardAtMs ?? sinceMs) > sinceMs,
    );
  }

  /** What all entries have counted, also those that are silent. */
  cells(): Array<readonly EvidenceCell[]> {
    return [...this.rows.values()].map(({row}) => row.cells);
  }
}
