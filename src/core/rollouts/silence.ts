/** How long an entry may tell nothing of a roll-out. */
import {
  ENTRY_SILENCE_PART,
  MAX_ENTRY_SILENCE_MS,
  MIN_ENTRY_SILENCE_MS,
  ROWS_PER_SILENCE,
} from './consts.js';
import type {RolloutOrder} from './types.js';

/**
 * Returns the silence after which an entry no longer counts as live, in
 * milliseconds: a killed one must not use up a short time budget.
 *
 * @example
 * silenceMs({durationMs: 12_000}); // 2_400
 */
export function silenceMs({durationMs}: Pick<RolloutOrder, 'durationMs'>) {
  const partMs = durationMs * ENTRY_SILENCE_PART;
  return Math.min(MAX_ENTRY_SILENCE_MS, Math.max(MIN_ENTRY_SILENCE_MS, partMs));
}

/**
 * Returns the interval at which an entry writes its row, in milliseconds.
 *
 * @example
 * rowIntervalMs({durationMs: 12_000}); // 800
 */
export function rowIntervalMs(order: Pick<RolloutOrder, 'durationMs'>): number {
  return silenceMs(order) / ROWS_PER_SILENCE;
}
