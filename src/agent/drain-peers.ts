/** Entries that may still send work to an agent that leaves. */

/** One entry's connection. */
export type DrainPeer = object;

/** Keeps which connected entries have promised to send no more work. */
export class DrainPeers {
  private readonly pending = new Set<DrainPeer>();

  /** `onLeave` is called when an entry says that the target leaves. */
  constructor(private readonly options: {onDrainRequested: () => void}) {}

  add(peer: DrainPeer): void {
    this.pending.add(peer);
  }

  remove(peer: DrainPeer): void {
    this.pending.delete(peer);
  }

  /** The entry sends no more work. */
  acknowledge(peer: DrainPeer): void {
    this.pending.delete(peer);
    this.options.onDrainRequested();
  }

  /** Entries whose promise is still to come. */
  count(): number {
    return this.pending.size;
  }
}
