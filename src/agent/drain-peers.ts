/** Entries that may still send work to a draining agent. */

/** Connection of one entry; identified by reference. */
export type DrainPeer = object;

/** Tracks which connected entries have not confirmed the drain yet. */
export class DrainPeers {
  private readonly pending = new Set<DrainPeer>();

  /**
   * `onDrainRequested` is called when an entry reports that the target drains.
   */
  constructor(private readonly options: {onDrainRequested: () => void}) {}

  add(peer: DrainPeer): void {
    this.pending.add(peer);
  }

  remove(peer: DrainPeer): void {
    this.pending.delete(peer);
  }

  /** Records that the entry sends no more work, and requests the drain. */
  acknowledge(peer: DrainPeer): void {
    this.pending.delete(peer);
    this.options.onDrainRequested();
  }

  /** Number of entries that have not confirmed yet. */
  count(): number {
    return this.pending.size;
  }
}
