/** Entries that may still send work to an agent that leaves. */

/** One entry's connection. */
export type LeavePeer = object;

/** Keeps which connected entries have promised to send no more work. */
export class LeavePeers {
  private readonly waiting = new Set<LeavePeer>();

  /** `onLeave` is called when an entry says that the target leaves. */
  constructor(private readonly options: {onLeave: () => void}) {}

  add(peer: LeavePeer): void {
    this.waiting.add(peer);
  }

  remove(peer: LeavePeer): void {
    this.waiting.delete(peer);
  }

  /** The entry sends no more work. */
  acknowledge(peer: LeavePeer): void {
    this.waiting.delete(peer);
    this.options.onLeave();
  }

  /** Entries whose promise is still to come. */
  count(): number {
    return this.waiting.size;
  }
}
