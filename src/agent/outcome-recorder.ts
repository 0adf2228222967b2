/** Writes the first outcomes of bookings to the platform, in groups. */
import type {RecordedOutcome} from '../core/booking/index.js';
import {claimNameOf, outcomePrefixOf} from '../core/booking/index.js';
import type {Clock} from '../core/clock/index.js';
import type {
  ObjectStore,
  PlainResponse,
  StoreError,
} from '../core/edges/index.js';
import {ObjectKind, StoreErrorKind} from '../core/edges/index.js';
import type {Metrics} from '../core/metrics/index.js';
import {CounterName} from '../core/metrics/index.js';
import type {CallMessage} from '../core/protocol/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import {
  OUTCOME_DRAIN_MS,
  OUTCOME_GROUP_BYTES,
  OUTCOME_GROUP_MS,
  OUTCOME_OVERHEAD_BYTES,
  OUTCOME_QUEUE_BYTES,
  OUTCOME_RETRY_MS,
} from './consts.js';

interface PendingOutcome {
  readonly outcome: RecordedOutcome;
  /** Prefix of the name of the object that it is written to. */
  readonly prefix: string;
  readonly bytes: number;
}

/** Outcomes that are written as one object. */
interface Group {
  readonly name: string;
  readonly members: readonly PendingOutcome[];
}

/**
 * Queues outcomes briefly and writes those with the same prefix as one object.
 * Each group has a unique name, so a write can be retried if its response was
 * lost.
 */
export class OutcomeRecorder {
  private pending: PendingOutcome[] = [];
  private pendingBytes = 0;
  private sequence = 0;
  private isWriting = false;
  /** When an outcome was last added or a group last settled. */
  private lastChangeAtMs = 0;

  constructor(
    private readonly options: {
      store: ObjectStore;
      clock: Clock;
      metrics: Metrics;
      incarnation: string;
      supervisor: Supervisor;
    },
  ) {}

  /**
   * Whether a drain need not wait: no outcome is pending, or nothing has
   * changed for `OUTCOME_DRAIN_MS`.
   */
  isIdle(): boolean {
    const isEmpty = this.pending.length === 0 && !this.isWriting;
    const sinceLastChangeMs = this.options.clock.now() - this.lastChangeAtMs;
    return isEmpty || sinceLastChangeMs > OUTCOME_DRAIN_MS;
  }

  /** Queues an outcome, or drops it if it or the queue is too large. */
  add(options: {call: CallMessage; response: PlainResponse}): void {
    const {call, response} = options;
    const bytes = response.body.length + OUTCOME_OVERHEAD_BYTES;
    const fits = this.pendingBytes + bytes <= OUTCOME_QUEUE_BYTES;
    if (bytes > OUTCOME_GROUP_BYTES || !fits) {
      this.options.metrics.count(CounterName.OUTCOMES_DROPPED);
      return;
    }
    const {incarnation} = this.options;
    const {claimedAtMs} = call;
    this.pending.push({
      outcome: createOutcome(call, response),
      prefix: outcomePrefixOf({incarnation, claimedAtMs}),
      bytes,
    });
    this.pendingBytes += bytes;
    this.lastChangeAtMs = this.options.clock.now();
    this.scheduleWrite();
  }

  private scheduleWrite(): void {
    if (this.isWriting || this.pending.length === 0) return;
    this.isWriting = true;
    this.options.clock.schedule({
      delayMs: OUTCOME_GROUP_MS,
      run: () => this.writeOrRetry(this.takeGroup()),
    });
  }

  private takeGroup(): Group {
    const {prefix} = this.pending[0]!;
    const members: PendingOutcome[] = [];
    const remaining: PendingOutcome[] = [];
    let bytes = 0;
    for (const item of this.pending) {
      const fits =
        item.prefix === prefix && bytes + item.bytes <= OUTCOME_GROUP_BYTES;
      (fits ? members : remaining).push(item);
      if (fits) bytes += item.bytes;
    }
    this.pending = remaining;
    return {name: `${prefix}${this.sequence++}`, members};
  }

  /** A write whose result is not known can be repeated, as its name is unique. */
  private writeOrRetry(group: Group): void {
    const {supervisor} = this.options;
    const onFailure = () => this.retryLater(group);
    supervisor.run({name: TaskName.OUTCOME, onFailure}, () =>
      this.write(group),
    );
  }

  private retryLater(group: Group): void {
    this.options.clock.schedule({
      delayMs: OUTCOME_RETRY_MS,
      run: () => this.writeOrRetry(group),
    });
  }

  private async write(group: Group): Promise<void> {
    const {store} = this.options;
    const outcomes = group.members.map(({outcome}) => outcome);
    const kind = ObjectKind.OUTCOME;
    const {name} = group;
    const written = await store.create({kind, name, value: {outcomes}});
    if (written.isErr() && isRetryable(written.error)) {
      this.retryLater(group);
      return;
    }
    this.settle(group, written.isErr() ? written.error : undefined);
  }

  /** Removes a group that was written, or that the store will never accept. */
  private settle(group: Group, error: StoreError | undefined): void {
    const {metrics, clock} = this.options;
    const isRejected = error?.kind === StoreErrorKind.INVALID;
    const name = isRejected
      ? CounterName.OUTCOMES_DROPPED
      : CounterName.OUTCOMES_RECORDED;
    metrics.count(name, {by: group.members.length});
    for (const {bytes} of group.members) this.pendingBytes -= bytes;
    this.isWriting = false;
    this.lastChangeAtMs = clock.now();
    this.scheduleWrite();
  }
}

/**
 * EXISTS means that an earlier write took effect but its response was lost;
 * INVALID is permanent.
 */
function isRetryable({kind}: StoreError): boolean {
  return kind !== StoreErrorKind.EXISTS && kind !== StoreErrorKind.INVALID;
}

function createOutcome(
  call: CallMessage,
  response: PlainResponse,
): RecordedOutcome {
  const {clientAccount, key, fingerprint} = call;
  return {
    name: claimNameOf({clientAccount, key}),
    fingerprint,
    status: response.status,
    headers: [...response.headers],
    body: Buffer.from(response.body).toString('base64'),
  };
}
