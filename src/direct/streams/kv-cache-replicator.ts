/** Keeps a copy of a generation's KV cache at another target. */
import type {KvCopyReference} from '../../core/edges/direct-target.js';
import type {Task} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {Target} from '../../core/targets/index.js';
import {COPY_RETRY_MS, COPY_REFRESH_MS} from '../consts.js';
import type {DirectContext, DirectWork} from '../context.js';
import {canResumeAt} from './stream-placer.js';

/** A KV cache copy from which a lost generation can be resumed. */
export interface KvCacheCopy {
  readonly holder: Target;
  readonly reference: KvCopyReference;
}

/** A copy of a lost attempt. */
export interface ResumableCopy extends KvCacheCopy {
  /** Whether the attempt wrote for so long that it crashed no engine. */
  readonly isHarmless: boolean;
}

/** The generation whose KV cache is copied, and the dependencies. */
export interface KvCacheReplicatorOptions {
  readonly ctx: DirectContext;
  readonly work: DirectWork;
  /** The target that runs the generation. */
  readonly runner: Target;
  /** Tokens in the KV cache at the end of the generation. */
  readonly tokens: number;
  /** Chooses a target for a copy; undefined if none is suitable. */
  readonly chooseHolder: () => Target | undefined;
}

/**
 * Maintains a copy of the KV cache of one generation at another target. The
 * request names the holder of the first copy, which the runner makes by itself.
 * When this holder is lost or drains, the runner is requested to make another
 * copy, which is refreshed at intervals. So a generation can be resumed even if
 * several data centres fail one after the other.
 *
 * @example
 * const replicator = new KvCacheReplicator(options);
 * replicator.maintainCopy();
 * const copy = replicator.copy;
 */
export class KvCacheReplicator {
  private current?: KvCacheCopy;
  /** Whether the copy was requested by a call, so that it must be refreshed. */
  private isCopyRequested = false;
  private isRequesting = false;
  private isOver = false;
  /** When a copy was last requested, with the generation or by a call. */
  private requestedMs: number;

  constructor(private readonly options: KvCacheReplicatorOptions) {
    const {ctx, work, chooseHolder} = options;
    this.requestedMs = ctx.clock.now();
    const holder = chooseHolder();
    if (holder === undefined) return;
    const reference = {address: holder.record.address, id: work.req.attemptId};
    this.setCopy({holder, reference});
  }

  /** The newest copy, at whichever target. */
  get copy(): KvCacheCopy | undefined {
    return this.current;
  }

  /** Refreshes or replaces the copy if needed; to be called on each event. */
  maintainCopy(): void {
    if (this.isRequesting || this.current === undefined) return;
    const {holder} = this.current;
    this.options.ctx.prober.noteReplaced(holder);
    const ageMs = this.options.ctx.clock.now() - this.requestedMs;
    const isUsable = canResumeAt(holder) && !holder.record.isDraining;
    if (isUsable) {
      if (this.isCopyRequested && ageMs >= COPY_REFRESH_MS)
        this.startCopy(holder);
      return;
    }
    if (ageMs < COPY_RETRY_MS) return;
    const next = this.options.chooseHolder();
    if (next !== undefined && canResumeAt(next)) this.startCopy(next);
  }

  /**
   * Ends the replication. `isNeeded` says that the generation was lost and may
   * be resumed from the copy, which is then not freed.
   */
  close(options: {isNeeded: boolean}): void {
    if (this.isOver) return;
    this.isOver = true;
    if (this.current === undefined) return;
    this.current.holder.removeKvCopy(this.options.tokens);
    // The runner frees the copy that it made for the request by itself.
    const mustFree = this.isCopyRequested && !options.isNeeded;
    if (mustFree) this.freeCopy(this.current.reference.id);
  }

  private freeCopy(id: string): void {
    const {ctx, runner, work} = this.options;
    const {attemptId} = work.req;
    ctx.supervisor.run(this.task(), async () => {
      const freed = await ctx.client.freeKvCopy({source: runner.record, id});
      if (freed.isOk()) return;
      const detail = freed.error;
      ctx.logger.info('KV cache copy not freed', {
        id: attemptId,
        copy: id,
        detail,
      });
    });
  }

  /** A stream goes on without a newer copy. */
  private startCopy(holder: Target): void {
    const {ctx} = this.options;
    const onFailure = () => (this.isRequesting = false);
    ctx.supervisor.run(this.task(onFailure), () => this.requestCopy(holder));
  }

  private task(onFailure?: () => void): Task {
    const requestId = this.options.work.req.attemptId;
    return {name: TaskName.KV_COPY, requestId, onFailure};
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
      ctx.logger.info('KV cache copy not created', {
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
