/** Keeps a copy of a run's memory at another target while the run goes on. */
import type {KvCopyReference} from '../../core/edges/direct-target.js';
import type {Target} from '../../core/targets/index.js';
import {COPY_RETRY_MS, COPY_REFRESH_MS} from '../consts.js';
import type {DirectContext, DirectWork} from '../context.js';
import {canResumeAt} from './stream-placer.js';

/** A copy from which a lost run can go on. */
export interface KvCacheCopy {
  readonly holder: Target;
  readonly reference: KvCopyReference;
}

/** What a copy keeper works for. */
export interface KvCacheReplicatorOptions {
  readonly ctx: DirectContext;
  readonly work: DirectWork;
  readonly runner: Target;
  /** Tokens that the run holds in memory at its end. */
  readonly tokens: number;
  /** Chooses a target for a copy; undefined where there is none. */
  readonly chooseHolder: () => Target | undefined;
}

/**
 * The first copy is made by the runner itself, as it was told with the
 * request. When its holder is lost or leaves, the runner is asked for another
 * copy, which is brought up to date now and then. Serves the load of data
 * centres that fail in turn while generations run.
 *
 * @example
 * const keeper = new CopyKeeper(options);
 * keeper.check();
 * const copy = keeper.copy;
 */
export class KvCacheReplicator {
  private current?: KvCacheCopy;
  /** Whether the copy has to be brought up to date by calls. */
  private isCopyRequested = false;
  private isRequesting = false;
  private isOver = false;
  private requestedMs: number;

  constructor(private readonly options: KvCacheReplicatorOptions) {
    const {ctx, work, chooseHolder} = options;
    this.requestedMs = ctx.clock.now();
    const holder = chooseHolder();
    if (holder === undefined) return;
    const reference = {address: holder.record.address, id: work.req.attemptId};
    this.setCopy({holder, reference});
  }

  /** The newest copy, wherever it is. */
  get copy(): KvCacheCopy | undefined {
    return this.current;
  }

  /** Looks after the copy; to be called while the run writes. */
  check(): void {
    if (this.isRequesting || this.current === undefined) return;
    const {holder} = this.current;
    const ageMs = this.options.ctx.clock.now() - this.requestedMs;
    const isUsable = canResumeAt(holder) && !holder.record.isDraining;
    if (isUsable) {
      if (this.isCopyRequested && ageMs >= COPY_REFRESH_MS)
        void this.requestCopy(holder);
      return;
    }
    if (ageMs < COPY_RETRY_MS) return;
    const next = this.options.chooseHolder();
    if (next !== undefined && canResumeAt(next)) void this.requestCopy(next);
  }

  /** The run is over; or it is lost, and its copy is needed. */
  close(options: {isNeeded: boolean}): void {
    this.isOver = true;
    if (this.current === undefined) return;
    this.current.holder.removeKvCopy(this.options.tokens);
    // The runner itself frees the copy that it made with the request.
    const mustFree = this.isCopyRequested && !options.isNeeded;
    if (mustFree) this.freeCopy(this.current.reference.id);
  }

  private freeCopy(id: string): void {
    const {ctx, runner, work} = this.options;
    void ctx.client.freeKvCopy({source: runner.record, id}).mapErr((detail) => {
      const {attemptId} = work.req;
      ctx.logger.info('copy is not freed', {id: attemptId, copy: id, detail});
    });
  }

  private async requestCopy(holder: Target): Promise<void> {
    const {ctx, work, runner} = this.options;
    this.isRequesting = true;
    this.requestedMs = ctx.clock.now();
    const {attemptId} = work.req;
    const handle = await ctx.client.copyKvCache({
      source: runner.record,
      attemptId,
      destination: holder.record.address,
    });
    this.isRequesting = false;
    if (this.isOver) {
      if (handle.isOk()) this.freeCopy(handle.value);
      return;
    }
    if (handle.isErr()) {
      const detail = handle.error;
      ctx.logger.info('copy refused', {
        id: attemptId,
        holder: holder.id,
        detail,
      });
      return;
    }
    this.isCopyRequested = true;
    const {address} = runner.record;
    this.setCopy({holder, reference: {address, id: handle.value}});
  }

  private setCopy(copy: KvCacheCopy): void {
    const {tokens} = this.options;
    this.current?.holder.removeKvCopy(tokens);
    copy.holder.addKvCopy(tokens);
    this.current = copy;
  }
}
