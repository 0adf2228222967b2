/**
 * Asks one entry for the changes that it reads from the store, and for permits.
 */
import {parseIpEndpoint} from '../../core/codec/ip-endpoint.js';
import type {Clock, RandomSource, TimerHandle} from '../../core/clock/index.js';
import type {ChangeQuery} from '../../core/edges/state-source.js';
import type {PermitAnswer, PermitQuery} from '../../core/limits/index.js';
import type {
  ChangesMessage,
  HelloMessage,
  Message,
} from '../../core/protocol/index.js';
import {MessageType, PeerClient} from '../../core/protocol/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {EntryRecord} from '../../core/relay/index.js';
import {
  PERMIT_TIMEOUT_MS,
  toAskPermit,
  toPermitAnswer,
} from '../limits/index.js';
import {CONNECT_LIMIT_MS, MAX_SILENCE_MS, WATCH_MARGIN_MS} from './consts.js';

/** Interval at which the silence of the entry is checked, in milliseconds. */
const SILENCE_CHECK_MS = 250;

/** An answer and when its question was sent. */
export interface WatchAnswer {
  readonly message: ChangesMessage;
  /** On the monotonic clock. */
  readonly sentAtMs: number;
}

type Settle = (message: ChangesMessage | undefined) => void;

type SettlePermit = (answer: PermitAnswer | undefined) => void;

/**
 * A connection to an entry that reads the store. It fails as a whole: when the
 * entry is silent, another one answers, or the connection breaks, all watches
 * end without an answer and the client stays closed.
 *
 * @example
 * const client = new WatchClient({entry, hello, clock, random});
 * const answer = await client.watch('config', {since: 41, waitMs: 2_000});
 */
export class WatchClient {
  private readonly client: PeerClient;
  private readonly pending = new Map<number, Settle>();
  private readonly pendingPermits = new Map<number, SettlePermit>();
  private readonly silenceTimer: TimerHandle;
  private readonly waitingForReady: Array<(isReady: boolean) => void> = [];
  private lastHeardMs: number;
  /** When a question for a permit was last sent that had no answer in time. */
  private unansweredMs = Number.NEGATIVE_INFINITY;
  private isVerified = false;
  private nextId = 1;
  private isClosedState = false;

  constructor(
    private readonly options: {
      entry: EntryRecord;
      hello: HelloMessage;
      clock: Clock;
      random: RandomSource;
      supervisor: Supervisor;
    },
  ) {
    const {entry, hello, clock, random, supervisor} = options;
    const task = {name: TaskName.PEERS, onFailure: () => this.close()};
    this.client = new PeerClient({
      peer: parseIpEndpoint(entry.address)!,
      hello,
      clock,
      supervisor,
      random,
      listener: {
        onReady: supervisor.guard(task, (peer: HelloMessage) =>
          this.handleReady(peer),
        ),
        onMessage: supervisor.guard(task, (message: Message) =>
          this.receive(message),
        ),
        onDrain: () => undefined,
        onClose: supervisor.guard(task, () => this.close()),
      },
    });
    this.lastHeardMs = clock.now();
    this.silenceTimer = clock.repeat({
      periodMs: SILENCE_CHECK_MS,
      run: supervisor.guard(task, () => this.checkSilence()),
    });
    this.client.start();
  }

  /** Whether the connection has failed or was closed. */
  get isClosed(): boolean {
    return this.isClosedState;
  }

  /**
   * Resolves to undefined if the entry does not answer in time, or with a
   * revision or an age that cannot be.
   */
  async watch(
    kind: string,
    query: ChangeQuery,
  ): Promise<WatchAnswer | undefined> {
    if (!(await this.whenReady())) return undefined;
    const sentAtMs = this.options.clock.now();
    const message = await this.request(kind, query);
    if (message === undefined) return undefined;
    const {revision, currentOffsetMs = 0} = message;
    const isSound = revision >= query.since && Number.isFinite(currentOffsetMs);
    return isSound ? {message, sentAtMs} : undefined;
  }

  /** Whether the entry answers questions for permits, as far as is known. */
  get canGrant(): boolean {
    const isOpen = !this.isClosedState && this.client.isReady();
    return isOpen && this.isVerified && this.lastHeardMs > this.unansweredMs;
  }

  /** Resolves to undefined if the entry does not answer in time. */
  askPermit(query: PermitQuery): Promise<PermitAnswer | undefined> {
    if (!this.canGrant) return Promise.resolve(undefined);
    const {clock} = this.options;
    const askId = this.nextId++;
    const nowMs = clock.now();
    return new Promise((resolve) => {
      const limit = clock.schedule({
        delayMs: PERMIT_TIMEOUT_MS,
        run: this.guard(() => {
          this.unansweredMs = clock.now();
          settle(undefined);
        }),
      });
      const settle: SettlePermit = (answer) => {
        limit.cancel();
        this.pendingPermits.delete(askId);
        resolve(answer);
      };
      this.pendingPermits.set(askId, settle);
      this.client.send(toAskPermit(query, {askId, nowMs}));
    });
  }

  close(): void {
    if (this.isClosedState) return;
    this.isClosedState = true;
    this.silenceTimer.cancel();
    this.settleReady(false);
    for (const settle of [...this.pending.values()]) settle(undefined);
    for (const settle of [...this.pendingPermits.values()]) settle(undefined);
    this.client.stop();
  }

  /** The connection fails as a whole, after an exception too. */
  private guard(callback: () => void): () => void {
    const task = {name: TaskName.PEERS, onFailure: () => this.close()};
    return this.options.supervisor.guard(task, callback);
  }

  private request(
    kind: string,
    {since, epoch, waitMs}: ChangeQuery,
  ): Promise<ChangesMessage | undefined> {
    const watchId = this.nextId++;
    return new Promise((resolve) => {
      const limit = this.options.clock.schedule({
        delayMs: waitMs + WATCH_MARGIN_MS,
        run: this.guard(() => settle(undefined)),
      });
      const settle: Settle = (message) => {
        limit.cancel();
        this.pending.delete(watchId);
        resolve(message);
      };
      this.pending.set(watchId, settle);
      this.client.send({
        type: MessageType.WATCH,
        watchId,
        kind,
        since,
        epoch,
        waitMs,
      });
    });
  }

  private whenReady(): Promise<boolean> {
    if (this.isClosedState) return Promise.resolve(false);
    if (this.client.isReady()) return Promise.resolve(true);
    return new Promise((resolve) => {
      const limit = this.options.clock.schedule({
        delayMs: CONNECT_LIMIT_MS,
        run: this.guard(() => this.close()),
      });
      this.waitingForReady.push((isReady) => {
        limit.cancel();
        resolve(isReady);
      });
    });
  }

  private handleReady({vm}: HelloMessage): void {
    this.lastHeardMs = this.options.clock.now();
    // Another VM may have been given the address.
    this.isVerified = vm === this.options.entry.vm;
    if (this.isVerified) this.settleReady(true);
    else this.close();
  }

  private settleReady(isReady: boolean): void {
    for (const resolve of this.waitingForReady.splice(0)) resolve(isReady);
  }

  private receive(message: Message): void {
    this.lastHeardMs = this.options.clock.now();
    if (message.type === MessageType.CHANGES)
      this.pending.get(message.watchId)?.(message);
    if (message.type === MessageType.PERMIT) {
      const answer = toPermitAnswer(message, this.lastHeardMs);
      this.pendingPermits.get(message.askId)?.(answer);
    }
  }

  private checkSilence(): void {
    const silentMs = this.options.clock.now() - this.lastHeardMs;
    if (silentMs > MAX_SILENCE_MS) this.close();
  }
}
