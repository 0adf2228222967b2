/** Plain calls of one service that wait at an entry for room at its targets. */
import type {Clock, RandomSource} from '../clock/index.js';
import {chooseYielding, compareUrgency} from './compare-urgency.js';
import {MAX_WAITING, MIN_RETRY_AFTER_MS, RETRY_AFTER_JITTER} from './consts.js';
import {decideCall} from './decide-call.js';
import type {CallPreview, QueuedCall, Room} from './types.js';
import {CallDecision} from './types.js';

/** A call and what is done with it; one of the two is called once. */
export interface QueueEntry {
  readonly call: QueuedCall;
  /** The call may be sent now. */
  readonly onSend: () => void;
  /** The call is refused; a retry has a chance after this time, in ms. */
  readonly onRefuse: (retryAfterMs: number) => void;
}

interface WaitingCall extends QueueEntry {
  readonly sinceMs: number;
}

/**
 * Sends calls as long as targets have room for them. The others wait in the
 * order of their priority; of the same priority those come first that can still
 * be on time, the earliest first. A call never passes a more urgent one. Beyond
 * `MAX_WAITING` the one that would be sent last is refused, be it the newcomer or
 * one that waits.
 *
 * @example
 * const queue = new CallQueue({clock, random, roomOf: () => room});
 * queue.enter({call, onSend, onRefuse});
 * queue.drain();
 */
export class CallQueue {
  private readonly waiting = new Set<WaitingCall>();
  private lastRetryAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly options: {
      clock: Clock;
      random: RandomSource;
      /** Estimates the room at the targets, after the calls sent so far. */
      roomOf: () => Room;
    },
  ) {}

  /** Number of waiting calls. */
  get size(): number {
    return this.waiting.size;
  }

  /** Sends or refuses a call at once, or lets it wait. */
  enter(entry: QueueEntry): void {
    const {call, onSend, onRefuse} = entry;
    const sinceMs = this.options.clock.now();
    const newcomer = {call, onSend, onRefuse, sinceMs};
    const isFull = this.waiting.size >= MAX_WAITING;
    if (isFull && !this.makeRoomFor(newcomer)) {
      this.refuse(newcomer);
      return;
    }
    this.waiting.add(newcomer);
    this.drain();
  }

  /** What `enter` would do with a call; changes nothing. */
  preview(call: QueuedCall, room = this.options.roomOf()): CallPreview {
    const nowMs = this.options.clock.now();
    const earliestEndMs = nowMs + room.serviceMs;
    const others = [...this.waiting].map((waiting) => waiting.call);
    const before = others.filter(
      (other) => compareUrgency({a: other, b: call, earliestEndMs}) <= 0,
    ).length;
    const mustYield =
      this.waiting.size >= MAX_WAITING && before === this.waiting.size;
    const isPassing = others.some(({priority}) => priority < call.priority);
    const decision = decideCall({call, room, waitsSinceMs: nowMs, nowMs});
    const isHeld = decision === CallDecision.SEND && isPassing;
    return {
      decision: mustYield
        ? CallDecision.REFUSE
        : isHeld
          ? CallDecision.WAIT
          : decision,
      before,
      waitMs: room.waitMs,
      retryAfterMs: Math.ceil(this.nextRetryAtMs(room) - nowMs),
    };
  }

  /** Removes a call whose caller is gone. */
  leave(call: QueuedCall): void {
    for (const waiting of this.waiting) {
      if (waiting.call === call) this.waiting.delete(waiting);
    }
  }

  /** Decides anew on all waiting calls. */
  drain(): void {
    let heldPriority = Number.POSITIVE_INFINITY;
    for (const waiting of this.ordered()) {
      // A callback may have drained the queue or removed a call.
      if (!this.waiting.has(waiting)) continue;
      const decision = this.decide(waiting);
      const {priority} = waiting.call;
      if (decision === CallDecision.REFUSE) {
        this.waiting.delete(waiting);
        this.refuse(waiting);
      } else if (decision === CallDecision.SEND && priority <= heldPriority) {
        this.waiting.delete(waiting);
        waiting.onSend();
      } else {
        heldPriority = Math.min(heldPriority, priority);
      }
    }
  }

  /** Refuses the waiting call that yields; false if the newcomer does. */
  private makeRoomFor(newcomer: WaitingCall): boolean {
    const yielding = chooseYielding({
      waiting: [...this.waiting, newcomer],
      earliestEndMs: this.earliestEndMs(),
    });
    if (yielding === undefined || yielding === newcomer) return false;
    this.waiting.delete(yielding);
    this.refuse(yielding);
    return true;
  }

  private earliestEndMs(): number {
    const {clock, roomOf} = this.options;
    return clock.now() + roomOf().serviceMs;
  }

  private decide({call, sinceMs}: WaitingCall): CallDecision {
    const {clock, roomOf} = this.options;
    const nowMs = clock.now();
    return decideCall({call, room: roomOf(), waitsSinceMs: sinceMs, nowMs});
  }

  private ordered(): WaitingCall[] {
    if (this.waiting.size < 2) return [...this.waiting];
    const earliestEndMs = this.earliestEndMs();
    return [...this.waiting].sort((a, b) =>
      compareUrgency({a: a.call, b: b.call, earliestEndMs}),
    );
  }

  /** Each refused caller gets a later time than the one before. */
  private refuse({onRefuse}: WaitingCall): void {
    const {clock, random, roomOf} = this.options;
    const nowMs = clock.now();
    this.lastRetryAtMs = this.nextRetryAtMs(roomOf());
    const jitter = 1 + random.float() * RETRY_AFTER_JITTER;
    onRefuse(Math.ceil((this.lastRetryAtMs - nowMs) * jitter));
  }

  private nextRetryAtMs({waitMs, intervalMs}: Room): number {
    const nowMs = this.options.clock.now();
    const hasChanceAtMs = nowMs + Math.max(waitMs, MIN_RETRY_AFTER_MS);
    return Math.max(hasChanceAtMs, this.lastRetryAtMs) + intervalMs;
  }
}
