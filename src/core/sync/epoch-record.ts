/** What entries tell each other, through the store, of its present epoch. */

/** Epoch of a store that was never restored from a copy. */
const FIRST_EPOCH = 1;

/** What is known of one epoch of the store. */
export interface EpochRecord {
  readonly epoch: number;
  /** Newest version of the configuration that an entry has known in it. */
  readonly version: number;
  /**
   * Whether what the store had lost at the begin of the epoch has been written
   * again, as far as entries can tell.
   */
  readonly isSettled: boolean;
}

/**
 * Whether a store in an epoch has come back from a copy at some time, so that it
 * may lack what it had acknowledged before.
 *
 * @example
 * wasRestored(2); // true
 */
export function wasRestored(epoch: number | undefined): epoch is number {
  return epoch !== undefined && epoch > FIRST_EPOCH;
}

/**
 * Adds what an entry knows to the stored record. Returns the record to write;
 * undefined if the stored one tells as much.
 *
 * @example
 * // {epoch: 2, version: 9, isSettled: true}
 * mergeEpochRecord(
 *   {epoch: 2, version: 9, isSettled: false},
 *   {epoch: 2, version: 7, isSettled: true},
 * );
 */
export function mergeEpochRecord(
  stored: EpochRecord | undefined,
  own: EpochRecord,
): EpochRecord | undefined {
  if (stored?.epoch !== own.epoch) return own;
  const version = Math.max(stored.version, own.version);
  const isSettled = stored.isSettled || own.isSettled;
  const isSame = version === stored.version && isSettled === stored.isSettled;
  return isSame ? undefined : {epoch: own.epoch, version, isSettled};
}
