/** Plain calls of one service that wait at an entry for room at its targets. */
import type {Clock, RandomSource} from '../clock/index.js';
import {compareUrgency} from './compare-urgency.js';
import {
  MAX_RETRY_AFTER_MS,
  MAX_WAITING,
  MIN_RETRY_AFTER_MS,
  RETRY_AFTER_JITTER,
} from './consts.js';
import {decideCall} from './decide-call.js';
import {FairOrder} from './fair-order.js';
import {TurnRate} from './turn-rate.js';
import type {CallPreview, HeldCall, QueuedCall, Room} from './types.js';
import {CallDecision} from './types.js';

/** A call and what is done with it; one of the two is called once. */
export interface QueueEntry {
  readonly call: QueuedCall;
  /** What may hold the call back; by default nothing does. */
  readonly held?: HeldCall;
  /** Whether it was held back; otherwise a call is sent that finds none waiting. */
  readonly wasHeldBack?: boolean;
  /** The call may be sent now. */
  readonly onSend: () => void;
  /** The call is refused; a retry has a chance after this time, in ms. */
  readonly onRefuse: (retryAfterMs: number) => void;
}

interface WaitingCall extends QueueEntry {
  readonly sinceMs: number;
  /** Whether it has to be known before the send that nothing holds it back. */
  mustCheck: boolean;
  isHeldBack: boolean;
}

/**
 * Sends calls as long as targets have room for them. The others wait in the
 * order of their priority; of the same priority those come first that can still
 * be on time, in turns of the client accounts, the earliest first. A call never
 * passes a more urgent one, except one that this entry holds back for its body:
 * that one lets calls with small bodies pass. Beyond `MAX_WAITING` the one that
 * would be sent last is refused, be it the newcomer or one that waits.
 *
 * @example
 * const queue = new CallQueue({clock, random, roomOf: () => room});
 * queue.enter({call, onSend, onRefuse});
 * queue.drain();
 */
export class CallQueue {
  private readonly waiting = new Set<WaitingCall>();
  private readonly order = new FairOrder();
  private readonly turns = new TurnRate();
  /** Of the last refusal, of those held back and of the others. */
  private readonly lastRetryAtMs = new Map<boolean, number>();

  constructor(
    private readonly options: {
      clock: Clock;
      random: RandomSource;
      /** Estimates the room at the targets, after the calls sent so far. */
      roomOf: () => Room;
      /** Whether some target has a connection for a call; by default it has. */
      hasConnection?: () => boolean;
    },
  ) {}

  /** Number of waiting calls. */
  get size(): number {
    return this.waiting.size;
  }

  /** Sends or refuses a call at once, or lets it wait. */
  enter(entry: QueueEntry): void {
    const {call, held, wasHeldBack = false, onSend, onRefuse} = entry;
    const newcomer: WaitingCall = {
      call,
      held,
      onSend,
      onRefuse,
      sinceMs: this.options.clock.now(),
      mustCheck: wasHeldBack || this.waiting.size > 0,
      isHeldBack: wasHeldBack,
    };
    const isFull = this.waiting.size >= MAX_WAITING;
    if (isFull && !this.makeRoomFor(newcomer)) {
      newcomer.isHeldBack ||= !this.hasConnection();
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
    const isHeldBack = !this.hasConnection();
    const decision = decideCall({
      call,
      room,
      waitsSinceMs: nowMs,
      nowMs,
      isHeldBack,
    });
    const isHeld = decision === CallDecision.SEND && isPassing;
    return {
      decision: mustYield
        ? CallDecision.REFUSE
        : isHeld
          ? CallDecision.WAIT
          : decision,
      before,
      waitMs: room.waitMs,
      retryAfterMs: Math.ceil(this.nextRetryAtMs(room, isHeldBack) - nowMs),
    };
  }

  /** Removes a call whose caller is gone. */
  leave(call: QueuedCall): void {
    for (const waiting of this.waiting) {
      if (waiting.call === call) this.remove(waiting);
    }
  }

  /** Decides anew on all waiting calls. */
  drain(): void {
    if (this.waiting.size === 0) return;
    let heldPriority = Number.POSITIVE_INFINITY;
    let isLargeHeld = false;
    let hasConnection = this.mayHaveConnection();
    let room = this.options.roomOf();
    for (const waiting of this.ordered(hasConnection)) {
      // A callback may have drained the queue or removed a call.
      if (!this.waiting.has(waiting)) continue;
      const {held, mustCheck} = waiting;
      const isLarge = held?.isLarge === true;
      waiting.isHeldBack =
        !hasConnection ||
        (isLargeHeld && isLarge) ||
        (mustCheck && held?.isHeldBack() === true);
      const decision = this.decide(waiting, room);
      const {priority} = waiting.call;
      if (decision === CallDecision.REFUSE) {
        this.refuse(waiting);
      } else if (decision === CallDecision.SEND && priority <= heldPriority) {
        this.send(waiting);
        hasConnection = this.mayHaveConnection();
        room = this.options.roomOf();
      } else {
        this.keep(waiting);
        if (!waiting.isHeldBack)
          heldPriority = Math.min(heldPriority, priority);
        else if (isLarge) isLargeHeld = true;
      }
    }
  }

  private send(waiting: WaitingCall): void {
    if (waiting.mustCheck) {
      this.order.recordSent(waiting.call);
      this.turns.recordTurn(this.options.clock.now());
    }
    this.remove(waiting);
    waiting.onSend();
  }

  private keep(waiting: WaitingCall): void {
    waiting.mustCheck = true;
    this.turns.recordWaiting(this.options.clock.now());
  }

  private remove(waiting: WaitingCall): void {
    this.waiting.delete(waiting);
    if (this.waiting.size > 0) return;
    this.order.clear();
    this.turns.recordEmpty();
  }

  /** A call that finds none waiting is sent without a look at connections. */
  private mayHaveConnection(): boolean {
    return this.waiting.size < 2 || this.hasConnection();
  }

  private hasConnection(): boolean {
    return this.options.hasConnection?.() ?? true;
  }

  /** Refuses the waiting call that yields; false if the newcomer does. */
  private makeRoomFor(newcomer: WaitingCall): boolean {
    const all = [...this.waiting, newcomer];
    const yielding = this.order.sort(all, this.earliestEndMs()).at(-1)!;
    if (yielding === newcomer) return false;
    this.refuse(yielding);
    return true;
  }

  private earliestEndMs(): number {
    const {clock, roomOf} = this.options;
    return clock.now() + roomOf().serviceMs;
  }

  private decide(
    {call, sinceMs, isHeldBack}: WaitingCall,
    room: Room,
  ): CallDecision {
    const nowMs = this.options.clock.now();
    return decideCall({call, room, waitsSinceMs: sinceMs, nowMs, isHeldBack});
  }

  /** The order counts only if one of them can be sent. */
  private ordered(hasConnection: boolean): WaitingCall[] {
    if (!hasConnection || this.waiting.size < 2) return [...this.waiting];
    return this.order.sort(this.waiting, this.earliestEndMs());
  }

  /** Each refused caller gets a later time than the one before. */
  private refuse(refused: WaitingCall): void {
    const {clock, random, roomOf} = this.options;
    const nowMs = clock.now();
    const {isHeldBack} = refused;
    const retryAtMs = this.nextRetryAtMs(roomOf(), isHeldBack);
    this.lastRetryAtMs.set(isHeldBack, retryAtMs);
    this.remove(refused);
    const jitter = 1 + random.float() * RETRY_AFTER_JITTER;
    refused.onRefuse(Math.ceil((retryAtMs - nowMs) * jitter));
  }

  private nextRetryAtMs(room: Room, isHeldBack: boolean): number {
    const nowMs = this.options.clock.now();
    const {waitMs, intervalMs} = isHeldBack ? this.turnsAhead() : room;
    const hasChanceAtMs = nowMs + Math.max(waitMs, MIN_RETRY_AFTER_MS);
    const lastAtMs = this.lastRetryAtMs.get(isHeldBack) ?? hasChanceAtMs;
    const atMs = Math.max(hasChanceAtMs, lastAtMs) + intervalMs;
    return isHeldBack ? Math.min(atMs, nowMs + MAX_RETRY_AFTER_MS) : atMs;
  }

  /** The wait until all other calls that wait have had their turn. */
  private turnsAhead(): Pick<Room, 'waitMs' | 'intervalMs'> {
    const intervalMs = this.turns.intervalMs(this.options.clock.now());
    const others = Math.max(0, this.waiting.size - 1);
    return {waitMs: others * intervalMs, intervalMs};
  }
}
