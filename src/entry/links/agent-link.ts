/** An entry's connection to one agent, shared by all its requests. */
import type {Clock, RandomSource} from '../../core/clock/index.js';
import {RecoveryGoal} from '../../core/config/index.js';
import type {VmRecord} from '../../core/edges/index.js';
import {VmState} from '../../core/edges/index.js';
import {RetryReason} from '../../core/errors/index.js';
import type {RecoveryPolicy} from '../../core/generation/index.js';
import {
  BUSY_BOUNDS,
  SilenceTimeout,
  IDLE_BOUNDS,
} from '../../core/membership/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName} from '../../core/metrics/index.js';
import type {
  ConnectionListener,
  HeartbeatMessage,
  HelloMessage,
  Message,
  TransportError,
} from '../../core/protocol/index.js';
import {
  MessageType,
  PeerClient,
  TargetPhase,
} from '../../core/protocol/index.js';
import type {TargetView} from '../../core/routing/index.js';
import {
  COUNT_RETENTION_MS,
  CountHistory,
  REPORT_ROUND_TRIP_MS,
} from '../../core/routing/index.js';
import {
  AGENT_CONFIG_ANNOUNCE_PERIOD_MS,
  AGENT_CONFIG_JITTER_MS,
  MAX_PENDING_CANCELS,
} from '../consts.js';
import type {AttemptLink} from '../generation/attempt-link.js';
import type {AgentConfigSource, LinkHandler} from './link-handler.js';

/** Speaks to one agent and keeps the view of its target. */
export class AgentLink implements AttemptLink, ConnectionListener {
  private readonly client: PeerClient;
  private readonly handlers = new Map<string, LinkHandler>();
  private incarnation = '';
  private heartbeat: HeartbeatMessage | undefined;
  private heardAtMs: number;
  /** An idle agent speaks less often, so its silence before says little. */
  private busySinceMs = 0;
  private suspected = false;
  private unlisted = false;
  private toldLeave = false;
  private readonly busyGaps = new SilenceTimeout(
    BUSY_BOUNDS[RecoveryGoal.LATENCY],
  );
  private readonly idleGaps = new SilenceTimeout(IDLE_BOUNDS);
  private offeredVersion = 0;
  private configDueAtMs = 0;
  /** Incarnation that was connected while the VM list called it live. */
  private liveIncarnation = '';
  private quiet = false;
  /** Attempts to cancel once the agent is back. */
  private readonly pendingCancels = new Set<string>();
  private readonly ownCounts = new CountHistory({
    retentionMs: COUNT_RETENTION_MS,
  });
  private ownAtReport = 0;
  private usableSinceMs: number | undefined;

  constructor(
    private record: VmRecord,
    private readonly options: {
      hello: HelloMessage;
      clock: Clock;
      random: RandomSource;
      metrics: Metrics;
      config: AgentConfigSource;
    },
  ) {
    const {hello, clock, random} = options;
    this.heardAtMs = clock.now();
    const peer = {address: record.address, port: record.peerPort};
    this.client = new PeerClient({peer, hello, clock, random, listener: this});
  }

  get vm(): string {
    return this.record.name;
  }

  start(): void {
    this.client.start();
  }

  stop(): void {
    this.client.stop();
  }

  /** Takes over what the deployment weighs in recovery. */
  setRecoveryGoal(weigh: RecoveryGoal): void {
    this.busyGaps.setBounds(BUSY_BOUNDS[weigh]);
  }

  /** Takes over what the VM list now says. */
  updateRecord(record: VmRecord): void {
    this.record = record;
    this.unlisted = false;
    this.noteListed();
  }

  /** The VM list no longer has this target. */
  markUnlisted(): void {
    this.unlisted = true;
  }

  /** Version that the agent holds; 0 for none. */
  get configVersion(): number {
    return this.heartbeat?.configVersion ?? 0;
  }

  /** Tells the agent the configuration when that is due. */
  sendConfigIfDue(): void {
    if (!this.client.isReady() || this.heartbeat === undefined) return;
    const {clock, config, random} = this.options;
    const nowMs = clock.now();
    const held = config.latest();
    if (this.offeredVersion !== held.version) {
      // Several entries may be about to tell; the first one is enough.
      this.offeredVersion = held.version;
      this.configDueAtMs = nowMs + random.below(AGENT_CONFIG_JITTER_MS);
    }
    if (nowMs < this.configDueAtMs) return;
    this.configDueAtMs = nowMs + AGENT_CONFIG_ANNOUNCE_PERIOD_MS;
    const {version} = held;
    const value = this.configVersion < version ? held.value : null;
    const ageMs = config.ageMs();
    this.client.send({type: MessageType.CONFIG, version, value, ageMs});
  }

  /** Whether the agent listens where a record says. */
  hasAddress({address, peerPort}: VmRecord): boolean {
    return this.record.address === address && this.record.peerPort === peerPort;
  }

  /** Whether an attempt or call still waits for this agent. */
  isBusy(): boolean {
    return this.handlers.size > 0;
  }

  /** What the entry knows of this target. */
  view(): TargetView {
    const {name, dataCentre, service} = this.record;
    const beat = this.heartbeat;
    const leaving = this.isLeaving();
    const healthy = beat?.phase === TargetPhase.HEALTHY;
    const connected = this.client.isReady() && !this.suspected;
    const usable = connected && healthy && !leaving;
    return {
      vm: name,
      dataCentre,
      service,
      incarnation: this.incarnation,
      usable,
      draining: leaving,
      ownInFlight: this.handlers.size,
      running: beat?.running ?? 0,
      waiting: beat?.waiting ?? 0,
      capacity: beat?.capacity ?? 0,
      cachedPrefixes: beat?.cachedPrefixes ?? [],
      ownInReport: this.ownAtReport,
      usableForMs: this.noteUsable(usable),
    };
  }

  /** Whether the agent speaks and is not suspected. */
  isConnected(): boolean {
    return this.client.isReady() && !this.suspected;
  }

  /**
   * Sends the first message of an attempt or call. Returns false when the
   * agent is not connected, in which case nothing was sent.
   */
  open(options: {id: string; message: Message; handler: LinkHandler}): boolean {
    const {id, message, handler} = options;
    if (!this.isConnected()) return false;
    if (message.type === MessageType.START && this.isLeaving()) return false;
    if (this.handlers.size === 0) this.busySinceMs = this.options.clock.now();
    this.handlers.set(id, handler);
    this.noteCount();
    this.client.send(message);
    return true;
  }

  /** Sends a message that needs no answer. */
  send(message: Message): void {
    if (this.client.isReady()) {
      this.client.send(message);
      return;
    }
    if (message.type !== MessageType.CANCEL) return;
    if (this.pendingCancels.size >= MAX_PENDING_CANCELS) return;
    this.pendingCancels.add(message.attemptId);
  }

  /** Forgets an attempt or call; later words of it are dropped. */
  release(id: string): void {
    this.handlers.delete(id);
    this.noteCount();
  }

  /** Suspects the agent if it has been silent for too long. */
  checkSilence(policy: RecoveryPolicy): void {
    if (!this.client.isReady() || this.suspected) return;
    const busy = this.handlers.size > 0;
    const silentMs = this.silentForMs(busy);
    const allowedMs = (busy ? this.busyGaps : this.idleGaps).timeoutMs();
    if (busy) this.checkQuiet(silentMs, allowedMs * policy.hedgeShare);
    if (silentMs <= allowedMs) return;
    this.suspected = true;
    this.options.metrics.count(CounterName.TARGETS_SUSPECTED);
    this.loseAll(RetryReason.AGENT_SILENT);
  }

  /** Tells once of a silence that is long, but not yet suspect. */
  private checkQuiet(silentMs: number, quietMs: number): void {
    if (this.quiet || silentMs < quietMs) return;
    this.quiet = true;
    for (const handler of [...this.handlers.values()]) handler.onHedgeDue?.();
  }

  private silentForMs(busy: boolean): number {
    const sinceMs = busy
      ? Math.max(this.heardAtMs, this.busySinceMs)
      : this.heardAtMs;
    return this.options.clock.now() - sinceMs;
  }

  /** Starts the measure of silence anew, after a pause of this process. */
  resetSilence(): void {
    this.heardAtMs = this.options.clock.now();
  }

  onReady(hello: HelloMessage): void {
    this.incarnation = hello.incarnation;
    this.heardAtMs = this.options.clock.now();
    this.suspected = false;
    this.quiet = false;
    for (const attemptId of this.pendingCancels) {
      this.client.send({type: MessageType.CANCEL, attemptId});
    }
    this.pendingCancels.clear();
    this.toldLeave = false;
    this.configDueAtMs = this.options.clock.now();
    this.noteListed();
  }

  onMessage(message: Message): void {
    this.noteHeard();
    switch (message.type) {
      case MessageType.HEARTBEAT:
        this.handleHeartbeat(message);
        return;
      case MessageType.TOKENS:
        this.handlers.get(message.attemptId)?.onTokens?.(message);
        return;
      case MessageType.END:
        this.take(message.attemptId)?.onEnd?.(message);
        return;
      case MessageType.FAILED:
        this.take(message.attemptId)?.onFailed?.(message);
        return;
      case MessageType.REFUSED:
        this.take(message.id)?.onRefused(message);
        return;
      case MessageType.REPLY:
        this.take(message.callId)?.onReply?.(message);
        return;
      case MessageType.CONFIG:
        this.options.config.receiveFromAgent(message, message.ageMs);
        return;
      case MessageType.KEY_STATE:
        this.take(message.callId)?.onKeyState?.(message);
        return;
      default:
        return;
    }
  }

  /** Any message is a sign of life; the gap before it is learned from. */
  private noteHeard(): void {
    const nowMs = this.options.clock.now();
    const busy = this.handlers.size > 0;
    (busy ? this.busyGaps : this.idleGaps).recordGap(this.silentForMs(busy));
    this.heardAtMs = nowMs;
    this.suspected = false;
    this.quiet = false;
  }

  onDrain(): void {
    // An entry's own messages are few and small; nothing waits for a drain.
  }

  onClose(err: TransportError): void {
    this.options.metrics.count(CounterName.CONNECTIONS_CLOSED, {
      label: err.kind,
    });
    this.heartbeat = undefined;
    this.loseAll(RetryReason.AGENT_GONE);
  }

  private handleHeartbeat(beat: HeartbeatMessage): void {
    const wasLeaving = this.heartbeat?.leaving ?? false;
    this.heartbeat = beat;
    const nowMs = this.options.clock.now();
    this.ownAtReport = this.ownCounts.countAt(nowMs - REPORT_ROUND_TRIP_MS);
    this.options.metrics.count(CounterName.HEARTBEATS);
    if (beat.leaving) this.tellLeave();
    if (!beat.leaving || wasLeaving) return;
    for (const handler of [...this.handlers.values()]) handler.onDraining?.();
  }

  private isLeaving(): boolean {
    const listed = this.record.state === VmState.LIVE && !this.unlisted;
    return !listed || (this.heartbeat?.leaving ?? false);
  }

  /**
   * Hands on what the VM list says. The list lags, so a process that was
   * never seen while its VM was live may be the successor of the one meant.
   */
  private noteListed(): void {
    if (!this.client.isReady()) return;
    if (this.record.state === VmState.LIVE) {
      this.liveIncarnation = this.incarnation;
      return;
    }
    if (this.liveIncarnation === this.incarnation) this.tellLeave();
  }

  /** Promises the agent that no new work follows. */
  private tellLeave(): void {
    if (this.toldLeave) return;
    this.toldLeave = true;
    this.client.send({type: MessageType.LEAVE});
  }

  private noteCount(): void {
    const nowMs = this.options.clock.now();
    this.ownCounts.record({nowMs, count: this.handlers.size});
  }

  /** Time since the target became usable; 0 while it is not. */
  private noteUsable(usable: boolean): number {
    const nowMs = this.options.clock.now();
    if (!usable) this.usableSinceMs = undefined;
    else this.usableSinceMs ??= nowMs;
    return nowMs - (this.usableSinceMs ?? nowMs);
  }

  private take(id: string): LinkHandler | undefined {
    const handler = this.handlers.get(id);
    this.handlers.delete(id);
    this.noteCount();
    return handler;
  }

  private loseAll(reason: RetryReason): void {
    const handlers = [...this.handlers.values()];
    this.handlers.clear();
    this.noteCount();
    for (const handler of handlers) handler.onLost(reason);
  }
}
