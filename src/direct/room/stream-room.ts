/** One stream's place in the order in which generations get room. */
import type {DirectWork, RequestContext} from '../context.js';
import {toRoomRequest} from './room-request.js';
import type {Applicant, ServiceRoom, WaitEnd} from './service-room.js';

/** What a stream does with a decision. */
export type RoomListener = Pick<
  Applicant,
  'tryPlace' | 'placeAnyway' | 'refuse'
>;

/**
 * Asks for room for one stream.
 *
 * @example
 * const room = new StreamRoom({ctx, work, listener});
 * if (room.isLimited) room.enter();
 */
export class StreamRoom {
  private readonly room: ServiceRoom;
  private applicant?: Applicant;
  private isRunning = false;

  constructor(
    private readonly options: {
      ctx: RequestContext;
      work: DirectWork;
      listener: RoomListener;
    },
  ) {
    const {ctx, work} = options;
    this.room = ctx.room.ofService(work.service.name);
  }

  /** Whether the engines of its service reserve room. */
  get isLimited(): boolean {
    const {service, req} = this.options.work;
    return service.engine?.holdMs !== undefined && req.generation !== undefined;
  }

  recordSize(tokens: number): void {
    if (this.isLimited) this.room.recordSize(tokens);
  }

  /** Asks for room, until it is given, refused or no longer needed. */
  enter(): Promise<void> {
    this.applicant = this.toApplicant();
    return this.room.enter(this.applicant);
  }

  /** Records that the stream is sent to an engine. */
  recordStart(): void {
    if (this.isRunning) return;
    this.isRunning = true;
    this.room.recordStart(this.clientAccount);
  }

  /** The stream is over or no longer needs room. */
  close(): void {
    if (this.applicant !== undefined) this.room.leave(this.applicant);
    if (this.isRunning) this.room.recordEnd(this.clientAccount);
    this.isRunning = false;
  }

  private logWait(outcome: WaitEnd, waiting: number): void {
    const {ctx, work} = this.options;
    const waitedMs = Math.round(ctx.clock.now() - work.req.receivedMs);
    const id = work.req.attemptId;
    ctx.logger.info('generation waited for room', {
      id,
      outcome,
      waitedMs,
      waiting,
    });
  }

  private get clientAccount(): string {
    return this.options.work.admitted.account?.clientAccount ?? '';
  }

  private toApplicant(): Applicant {
    const {ctx, work, listener} = this.options;
    const {req, service, admitted, deadlineAtMs} = work;
    const {route, account} = admitted;
    return {
      ...toRoomRequest({
        req,
        route,
        service,
        priority: account?.priority ?? route.priority,
        clientAccount: this.clientAccount,
        deadlineAtMs,
        times: ctx.minGenerationTimes.forService(service.name),
      }),
      ...listener,
      onWaitOver: (end, waiting) => this.logWait(end, waiting),
    };
  }
}
