/** What was counted in the last seconds. */
import {SNAPSHOT_MS, WINDOWS_MS} from './consts.js';
import {subtractCells} from './evidence.js';
import type {EvidenceCell} from './types.js';

interface EvidenceSnapshot {
  readonly atMs: number;
  readonly cells: readonly EvidenceCell[];
}

const LONGEST_MS = Math.max(...WINDOWS_MS);

/**
 * Keeps snapshots of the evidence of all entries, from which windows are cut.
 *
 * @example
 * const history = new EvidenceHistory();
 * const windows = history.update(cells, clock.now());
 */
export class EvidenceHistory {
  private snapshots: EvidenceSnapshot[] = [];

  /** Records the evidence so far; returns what each of the windows holds. */
  update(cells: readonly EvidenceCell[], atMs: number): EvidenceCell[][] {
    const windows = WINDOWS_MS.flatMap((lengthMs) => {
      const before = this.snapshots.findLast((s) => s.atMs <= atMs - lengthMs);
      return before === undefined ? [] : [subtractCells(cells, before.cells)];
    });
    const last = this.snapshots.at(-1);
    if (last === undefined || atMs - last.atMs >= SNAPSHOT_MS)
      this.snapshots.push({atMs, cells});
    const oldestMs = atMs - LONGEST_MS - 2 * SNAPSHOT_MS;
    this.snapshots = this.snapshots.filter((s) => s.atMs >= oldestMs);
    return windows;
  }
}
