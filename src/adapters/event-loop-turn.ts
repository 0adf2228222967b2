/** Tells the turns of the event loop apart. */

/**
 * Counts the turns of the event loop in which it is asked, and is free while
 * nobody asks.
 *
 * @example
 * if (EVENT_LOOP.turn !== lastTurn) leftBytes = MAX_BYTES_PER_TURN;
 */
class EventLoop {
  private count = 0;
  private isScheduled = false;

  /** Number of the current turn. */
  get turn(): number {
    if (!this.isScheduled) {
      this.isScheduled = true;
      setImmediate(() => {
        this.count++;
        this.isScheduled = false;
      });
    }
    return this.count;
  }
}

/** The event loop of this process. */
export const EVENT_LOOP = new EventLoop();
