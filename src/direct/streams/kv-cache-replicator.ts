/** Keeps a copy of a generation's KV cache at another target. */
import type {CopyState} from '../../core/copies/index.js';
import {CopyStep, decideCopyStep} from '../../core/copies/index.js';
import type {KvCopyReference} from '../../core/edges/direct-target.js';
import type {Task} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {Target} from '../../core/targets/index.js';
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
  /**
   * Asks for new reports, then chooses as `chooseHolder`. Undefined if a
   * generation that starts without a copy stays without one.
   */
  readonly findHolder?: () => Promise<Target | undefined>;
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

  /** Makes, refreshes or replaces the copy if needed; called on each event. */
  maintainCopy(): void {
    if (this.isRequesting) return;
    if (this.current !== undefined)
      this.options.ctx.prober.noteReplaced(this.current.holder);
    const step = decideCopyStep(this.state);
    if (step === CopyStep.SEARCH) this.startSearch();
    if (step === CopyStep.REFRESH) this.startCopy(this.current?.holder);
    if (step === CopyStep.REPLACE) this.startCopy(this.options.chooseHolder());
  }

  private get state(): CopyState {
    const {current, isCopyRequested: isRequested, requestedMs} = this;
    const {ctx, findHolder} = this.options;
    const copy = current && {isUsable: isUsable(current.holder), isRequested};
    const ageMs = ctx.clock.now() - requestedMs;
    return {copy, ageMs, mustHaveCopy: findHolder !== undefined};
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
  private startCopy(holder: Target | undefined): void {
    if (holder === undefined || !canResumeAt(holder)) return;
    this.run(() => this.requestCopy(holder));
  }

  private startSearch(): void {
    this.run(async () => {
      this.isRequesting = true;
      this.requestedMs = this.options.ctx.clock.now();
      const holder = await this.options.findHolder?.();
      this.isRequesting = false;
      if (!this.isOver) this.startCopy(holder);
    });
  }

  private run(step: () => Promise<void>): void {
    const onFailure = () => (this.isRequesting = false);
    this.options.ctx.supervisor.run(this.task(onFailure), step);
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

function isUsable(holder: Target): boolean {
  return canResumeAt(holder) && !holder.record.isDraining;
}
