/** An entry's connection to one agent, shared by all its requests. */
import type {Clock, RandomSource} from '../../core/clock/index.js';
import type {RecoveryGoal} from '../../core/config/index.js';
import type {VmRecord} from '../../core/edges/index.js';
import {VmState} from '../../core/edges/index.js';
import {RetryReason} from '../../core/errors/index.js';
import type {RecoveryPolicy} from '../../core/generation/index.js';
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
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
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
import {AgentSilence} from './agent-silence.js';
import type {AgentConfigSource, LinkHandler} from './link-handler.js';

/** Exchanges messages with one agent and keeps the view of its target. */
export class AgentLink implements AttemptLink, ConnectionListener {
  private readonly client: PeerClient;
  private readonly handlers = new Map<string, LinkHandler>();
  private incarnation = '';
  private heartbeat: HeartbeatMessage | undefined;
  private isSuspected = false;
  private isUnlisted = false;
  private hasSentLeave = false;
  private readonly silence: AgentSilence;
  /** Version that is to be sent at `configDueAtMs`. */
  private scheduledConfigVersion = 0;
  private configDueAtMs = 0;
  /** Incarnation that was connected while the VM list showed its VM as LIVE. */
  private listedLiveIncarnation = '';
  private hasNotifiedHedge = false;
  /** Attempts to cancel once the agent has reconnected. */
  private readonly pendingCancels = new Set<string>();
  private readonly ownCounts = new CountHistory({
    retentionMs: COUNT_RETENTION_MS,
  });
  /** Own requests included in the last heartbeat. */
  private ownInReport = 0;
  /** Undefined while the target is not usable. */
  private usableSinceMs: number | undefined;

  constructor(
    private record: VmRecord,
    private readonly options: {
      hello: HelloMessage;
      clock: Clock;
      random: RandomSource;
      metrics: Metrics;
      config: AgentConfigSource;
      supervisor: Supervisor;
    },
  ) {
    const {hello, clock, random, supervisor} = options;
    this.silence = new AgentSilence(clock);
    const peer = {address: record.address, port: record.peerPort};
    this.client = new PeerClient({
      ...{peer, hello, clock, random, supervisor},
      listener: this,
    });
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

  /** Applies the recovery goal of the deployment. */
  setRecoveryGoal(goal: RecoveryGoal): void {
    this.silence.setRecoveryGoal(goal);
  }

  /** Applies the target's current record in the VM list. */
  updateRecord(record: VmRecord): void {
    this.record = record;
    this.isUnlisted = false;
    this.applyListedState();
  }

  /** Records that the VM list no longer has this target. */
  markUnlisted(): void {
    this.isUnlisted = true;
  }

  /** Version that the agent holds; 0 for none. */
  get configVersion(): number {
    return this.heartbeat?.configVersion ?? 0;
  }

  /** Sends the configuration, or its version alone, to the agent if due. */
  sendConfigIfDue(): void {
    if (!this.client.isReady() || this.heartbeat === undefined) return;
    const {clock, config, random} = this.options;
    const nowMs = clock.now();
    const latest = config.latest();
    if (this.scheduledConfigVersion !== latest.version) {
      // Several entries may be about to send the value and one is enough, so
      // the delay is random: the later ones find that the agent has it.
      this.scheduledConfigVersion = latest.version;
      this.configDueAtMs = nowMs + random.below(AGENT_CONFIG_JITTER_MS);
    }
    if (nowMs < this.configDueAtMs) return;
    this.configDueAtMs = nowMs + AGENT_CONFIG_ANNOUNCE_PERIOD_MS;
    const {version} = latest;
    const value = this.configVersion < version ? latest.value : null;
    const ageMs = config.ageMs();
    this.client.send({type: MessageType.CONFIG, version, value, ageMs});
  }

  /** Whether the agent listens at the address of a record. */
  hasAddress({address, peerPort}: VmRecord): boolean {
    return this.record.address === address && this.record.peerPort === peerPort;
  }

  /** Whether attempts or calls are in flight at this agent. */
  isBusy(): boolean {
    return this.handlers.size > 0;
  }

  /** Returns the current state of the target as this entry sees it. */
  view(): TargetView {
    const {name, dataCentre, service} = this.record;
    const heartbeat = this.heartbeat;
    const draining = this.isDraining();
    const healthy = heartbeat?.phase === TargetPhase.HEALTHY;
    const connected = this.client.isReady() && !this.isSuspected;
    const usable = connected && healthy && !draining;
    return {
      vm: name,
      dataCentre,
      service,
      incarnation: this.incarnation,
      usable,
      draining,
      ownInFlight: this.handlers.size,
      running: heartbeat?.running ?? 0,
      waiting: heartbeat?.waiting ?? 0,
      capacity: heartbeat?.capacity ?? 0,
      cachedPrefixes: heartbeat?.cachedPrefixes ?? [],
      ownInReport: this.ownInReport,
      usableForMs: this.updateUsableForMs(usable),
    };
  }

  /** Whether the agent is connected and not suspected to have failed. */
  isConnected(): boolean {
    return this.client.isReady() && !this.isSuspected;
  }

  /**
   * Sends the first message of an attempt or call. Returns false, with
   * nothing sent, if the agent is not connected or if it drains and the
   * message would start an attempt.
   */
  open(options: {id: string; message: Message; handler: LinkHandler}): boolean {
    const {id, message, handler} = options;
    if (!this.isConnected()) return false;
    if (message.type === MessageType.START && this.isDraining()) return false;
    if (!this.isBusy()) this.silence.beginBusy();
    this.handlers.set(id, handler);
    this.recordCount();
    this.client.send(message);
    return true;
  }

  /**
   * Sends a message that needs no response. If the agent is not connected, a
   * CANCEL is sent after it has reconnected; other messages are dropped.
   */
  send(message: Message): void {
    if (this.client.isReady()) {
      this.client.send(message);
      return;
    }
    if (message.type !== MessageType.CANCEL) return;
    if (this.pendingCancels.size >= MAX_PENDING_CANCELS) return;
    this.pendingCancels.add(message.attemptId);
  }

  /** Removes the handler of an attempt or call; later messages are dropped. */
  release(id: string): void {
    this.handlers.delete(id);
    this.recordCount();
  }

  /** Marks the agent as suspected if it has been silent for too long. */
  checkSilence(policy: RecoveryPolicy): void {
    if (!this.client.isReady() || this.isSuspected) return;
    const isBusy = this.isBusy();
    const share = policy.hedgeShare;
    if (isBusy && this.silence.isTooLong({isBusy, share}))
      this.notifyHedgeDue();
    if (!this.silence.isTooLong({isBusy})) return;
    this.isSuspected = true;
    this.options.metrics.count(CounterName.TARGETS_SUSPECTED);
    this.failAll(RetryReason.AGENT_SILENT);
  }

  /** Notifies the handlers once per silence that a hedged attempt is due. */
  private notifyHedgeDue(): void {
    if (this.hasNotifiedHedge) return;
    this.hasNotifiedHedge = true;
    this.notifyAll((handler) => handler.onHedgeDue?.());
  }

  /** Restarts the silence timer after a pause of this process. */
  resetSilence(): void {
    this.silence.reset();
  }

  onReady(hello: HelloMessage): void {
    this.incarnation = hello.incarnation;
    this.silence.reset();
    this.isSuspected = false;
    this.hasNotifiedHedge = false;
    for (const attemptId of this.pendingCancels) {
      this.client.send({type: MessageType.CANCEL, attemptId});
    }
    this.pendingCancels.clear();
    this.hasSentLeave = false;
    this.configDueAtMs = this.options.clock.now();
    this.applyListedState();
  }

  onMessage(message: Message): void {
    this.recordReceived();
    switch (message.type) {
      case MessageType.HEARTBEAT:
        this.handleHeartbeat(message);
        return;
      case MessageType.TOKENS:
        this.handlers.get(message.attemptId)?.onTokens?.(message);
        return;
      case MessageType.END:
        this.takeHandler(message.attemptId)?.onEnd?.(message);
        return;
      case MessageType.FAILED:
        this.takeHandler(message.attemptId)?.onFailed?.(message);
        return;
      case MessageType.REFUSED:
        this.takeHandler(message.id)?.onRefused(message);
        return;
      case MessageType.REPLY:
        this.takeHandler(message.callId)?.onReply?.(message);
        return;
      case MessageType.CONFIG:
        this.options.config.receiveFromAgent(message, message.ageMs);
        return;
      case MessageType.KEY_STATE:
        this.takeHandler(message.callId)?.onKeyState?.(message);
        return;
      default:
        return;
    }
  }

  private recordReceived(): void {
    this.silence.recordReceived({isBusy: this.isBusy()});
    this.isSuspected = false;
    this.hasNotifiedHedge = false;
  }

  onFrameProgress(): void {
    this.recordReceived();
  }

  onDrain(): void {
    // Messages of an entry are few and small, so no send waits for a drain.
  }

  onClose(err: TransportError): void {
    this.options.metrics.count(CounterName.CONNECTIONS_CLOSED, {
      label: err.kind,
    });
    this.heartbeat = undefined;
    this.failAll(RetryReason.AGENT_GONE);
  }

  private handleHeartbeat(heartbeat: HeartbeatMessage): void {
    const wasDraining = this.heartbeat?.leaving ?? false;
    this.heartbeat = heartbeat;
    const nowMs = this.options.clock.now();
    this.ownInReport = this.ownCounts.countAt(nowMs - REPORT_ROUND_TRIP_MS);
    this.options.metrics.count(CounterName.HEARTBEATS);
    if (heartbeat.leaving) this.sendLeave();
    if (!heartbeat.leaving || wasDraining) return;
    this.notifyAll((handler) => handler.onDraining?.());
  }

  private isDraining(): boolean {
    const listed = this.record.state === VmState.LIVE && !this.isUnlisted;
    return !listed || (this.heartbeat?.leaving ?? false);
  }

  /**
   * Sends LEAVE to the agent if the VM list shows its VM as LEAVING. The list
   * lags, so that record may refer to an earlier process of the VM: only an
   * incarnation that was connected while its VM was LIVE receives LEAVE.
   */
  private applyListedState(): void {
    if (!this.client.isReady()) return;
    if (this.record.state === VmState.LIVE) {
      this.listedLiveIncarnation = this.incarnation;
      return;
    }
    if (this.listedLiveIncarnation === this.incarnation) this.sendLeave();
  }

  /** Confirms to the agent, once per connection, that no new work follows. */
  private sendLeave(): void {
    if (this.hasSentLeave) return;
    this.hasSentLeave = true;
    this.client.send({type: MessageType.LEAVE});
  }

  private recordCount(): void {
    const nowMs = this.options.clock.now();
    this.ownCounts.record({nowMs, count: this.handlers.size});
  }

  /** Returns for how long the target has been usable; 0 while it is not. */
  private updateUsableForMs(usable: boolean): number {
    const nowMs = this.options.clock.now();
    if (!usable) this.usableSinceMs = undefined;
    else this.usableSinceMs ??= nowMs;
    return nowMs - (this.usableSinceMs ?? nowMs);
  }

  private takeHandler(id: string): LinkHandler | undefined {
    const handler = this.handlers.get(id);
    this.handlers.delete(id);
    this.recordCount();
    return handler;
  }

  /** Fails all attempts and calls in flight. */
  private failAll(reason: RetryReason): void {
    const handlers = [...this.handlers.values()];
    this.handlers.clear();
    this.recordCount();
    this.notifyEach(handlers, (handler) => handler.onLost(reason));
  }

  private notifyAll(notify: (handler: LinkHandler) => void): void {
    this.notifyEach([...this.handlers.values()], notify);
  }

  /** The failure of one handler does not keep the others from the event. */
  private notifyEach(
    handlers: readonly LinkHandler[],
    notify: (handler: LinkHandler) => void,
  ): void {
    const {supervisor} = this.options;
    for (const handler of handlers)
      supervisor.run({name: TaskName.TARGETS}, () => notify(handler));
  }
}
