/** The room that one generation has reserved at an engine. */
import {ReserveFailure} from '../../core/edges/direct-target.js';
import {CounterName} from '../../core/metrics/index.js';
import {leavesSpareRoom} from '../../core/room/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {Target} from '../../core/targets/index.js';
import type {DirectContext, DirectWork} from '../context.js';
import {answerInTime} from './answer-in-time.js';
import {
  LATE_GRANT_MS,
  RELEASE_TIMEOUT_MS,
  RESERVE_TIMEOUT_MS,
} from './consts.js';
import {isLessUrgent} from './urgency.js';

/** What becomes of a reservation, as a label of its metric. */
enum Outcome {
  GRANTED = 'granted',
  /** Granted when the stream waited no more; it is released. */
  GRANTED_LATE = 'granted late',
  RELEASED = 'released',
}

/** Room that a target keeps. */
interface HeldRoom {
  readonly target: Target;
  readonly id: string;
}

/**
 * Reserves room for one generation, and frees what is not used.
 *
 * @example
 * const hasRoom = await reservation.take(target);
 * send({reservation: reservation.id, ...rest});
 * reservation.release();
 */
export class RoomReservation {
  private held?: HeldRoom;
  private isClosed = false;

  constructor(
    private readonly options: {
      ctx: DirectContext;
      work: DirectWork;
      /** Tokens of the generation in the KV cache at its end. */
      tokens: number;
    },
  ) {}

  /** Whether a target has room, which is reserved then. */
  async take(target: Target): Promise<boolean> {
    const {work, tokens, ctx} = this.options;
    const {engine} = work.service;
    this.release();
    if (engine?.holdMs === undefined) return true;
    if (isLessUrgent(work) && !this.leavesSpareRoom(target)) return false;
    const reserved = await answerInTime({
      clock: ctx.clock,
      answer: ctx.client.reserve({
        target: target.record,
        tokens,
        lifetimeMs: engine.holdMs,
        timeoutMs: LATE_GRANT_MS,
      }),
      timeoutMs: RESERVE_TIMEOUT_MS,
      onLateGrant: (id) => this.freeLate({target, id}),
    });
    this.count(reserved.isOk() ? Outcome.GRANTED : reserved.error);
    if (reserved.isErr()) return this.mayGoWithout(target, reserved.error);
    this.held = {target, id: reserved.value};
    if (this.isClosed) this.release();
    return true;
  }

  private leavesSpareRoom(target: Target): boolean {
    const {work, tokens, ctx} = this.options;
    const {name, engine} = work.service;
    return leavesSpareRoom({
      target,
      tokens,
      meanTokens: ctx.room.ofService(name).meanTokens,
      kvCapacityTokens: engine?.kvCapacityTokens ?? Infinity,
    });
  }

  /** Id for the request that is sent to the target. */
  get id(): string | undefined {
    return this.held?.id;
  }

  /** The request that carried the reservation has arrived at its target. */
  forget(): void {
    this.held = undefined;
  }

  /** Frees a reservation that was not used. */
  release(): void {
    const {held} = this;
    this.held = undefined;
    if (held === undefined) return;
    this.count(Outcome.RELEASED);
    this.startDrop(held);
  }

  /** Frees also what is granted later. */
  close(): void {
    this.isClosed = true;
    this.release();
  }

  private freeLate(granted: HeldRoom): void {
    this.count(Outcome.GRANTED_LATE);
    this.startDrop(granted);
  }

  private startDrop(room: HeldRoom): void {
    const {ctx, work} = this.options;
    const task = {name: TaskName.ROOM, requestId: work.req.attemptId};
    ctx.supervisor.run(task, () => this.drop(room));
  }

  private async drop({target, id}: HeldRoom): Promise<void> {
    const {ctx, work} = this.options;
    const dropped = await ctx.client.releaseReservation({
      target: target.record,
      id,
      timeoutMs: RELEASE_TIMEOUT_MS,
    });
    if (dropped.isOk()) return;
    ctx.logger.info('reservation not released', {
      id: work.req.attemptId,
      target: target.id,
      detail: dropped.error,
    });
  }

  private mayGoWithout(target: Target, failure: ReserveFailure): boolean {
    if (failure === ReserveFailure.UNSUPPORTED) return true;
    if (failure === ReserveFailure.FULL) target.recordRejected();
    else if (failure === ReserveFailure.NO_RESPONSE) target.recordFailure();
    return false;
  }

  private count(label: Outcome | ReserveFailure): void {
    this.options.ctx.metrics.count(CounterName.ROOM_RESERVATIONS, {label});
  }
}
