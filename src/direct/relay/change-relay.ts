/** Shares what one entry reads from the store with the others. */
import type {Clock, RandomSource} from '../../core/clock/index.js';
import {sleep} from '../../core/clock/index.js';
import type {ChangeQuery, StateSource} from '../../core/edges/state-source.js';
import type {StateWriter} from '../../core/edges/state-writer.js';
import type {ConnectionTable} from '../../core/connections/index.js';
import type {Logger} from '../../core/logs/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName} from '../../core/metrics/index.js';
import type {
  PermitAnswer,
  PermitPeers,
  PermitQuery,
} from '../../core/limits/index.js';
import type {
  AskPermitMessage,
  HelloMessage,
  PermitMessage,
} from '../../core/protocol/index.js';
import {
  MessageType,
  PeerRole,
  PROTOCOL_VERSION,
  WatchOutcome,
} from '../../core/protocol/index.js';
import type {AgeLimits, EntryRecord} from '../../core/relay/index.js';
import {
  AgeBound,
  ChangeLog,
  longestWaits,
  ReaderChoice,
} from '../../core/relay/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import {MEMBER_SILENCE_MS, toPermit, toPermitQuery} from '../limits/index.js';
import {
  DEMAND_MS,
  LISTEN_ATTEMPTS_PER_LOG_LINE,
  LISTEN_RETRY_MS,
  MAX_ASKS,
  MAX_UNKNOWN_MS,
} from './consts.js';
import {EntryDirectory} from './entry-directory.js';
import type {AskResult} from './relayed-source.js';
import {AskOutcome, RelayedSource} from './relayed-source.js';
import type {WatchAnswer} from './watch-client.js';
import {WatchClient} from './watch-client.js';
import {WatchServer} from './watch-server.js';

/** Dependencies of the relay. */
export interface ChangeRelayOptions {
  /** Name of this entry's VM. */
  readonly vm: string;
  readonly dataCentre: string;
  /** IP address of this VM. */
  readonly address: string;
  /** Bandwidth of its link, in Mbit/s; undefined if it is not known. */
  readonly linkMbps?: number;
  /**
   * Port on which other entries connect; undefined if entries do not connect to
   * each other.
   */
  readonly port?: number;
  readonly limits: AgeLimits;
  /** Bounds the connections of the process; none by default. */
  readonly connections?: ConnectionTable;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly logger: Logger;
  readonly supervisor: Supervisor;
}

const NONE: AskResult = {outcome: AskOutcome.NONE};
const FAILED: AskResult = {outcome: AskOutcome.FAILED};

/**
 * Lets a few entries read the changes of the store for all. Any entry can be
 * asked, and then reads the store itself; so two readers at once, or entries that
 * know different ones, do no harm. An entry whose reader fails reads
 * the store itself, and later asks the next. Over the same connections, the
 * entry that reads grants the permits of those that ask it.
 *
 * @example
 * const relay = new ChangeRelay(options);
 * const configs = relay.relayed({kind: 'config', store, bound: AgeBound.NONE});
 * relay.start({writer, source});
 */
export class ChangeRelay implements PermitPeers {
  private readonly logs = new Map<string, ChangeLog>();
  private readonly choice: ReaderChoice;
  private readonly hello: HelloMessage;
  private readonly server: WatchServer;
  private directory?: EntryDirectory;
  private client?: {readonly vm: string; readonly connection: WatchClient};
  private lastReader?: string;
  private lastAskedMs = Number.NEGATIVE_INFINITY;
  private isStopped = false;
  private entryVms?: readonly string[];
  private grant?: (query: PermitQuery) => PermitAnswer;
  /** Whether the last wait at the store had no answer. */
  private hasStoreFailed = false;
  /** Resolves once the other entries are known, or after a limit. */
  private readonly whenKnown: Promise<void>;
  private setKnown: () => void = () => undefined;

  constructor(private readonly options: ChangeRelayOptions) {
    const {vm, dataCentre, clock, random} = options;
    this.choice = new ReaderChoice({vm, dataCentre, clock, random});
    this.hello = {
      type: MessageType.HELLO,
      protocol: PROTOCOL_VERSION,
      role: PeerRole.ENTRY,
      vm,
      incarnation: random.id(),
      dataCentre,
    };
    this.server = new WatchServer({
      hello: this.hello,
      logs: this.logs,
      clock,
      supervisor: options.supervisor,
      connections: options.connections,
      onAsked: () => this.handleAsked(),
      mayRead: () => !this.hasStoreFailed,
      onPermitAsked: (message) => this.handlePermitAsked(message),
    });
    this.whenKnown = new Promise((resolve) => (this.setKnown = resolve));
    if (options.port === undefined) this.setKnown();
    else clock.schedule({delayMs: MAX_UNKNOWN_MS, run: this.setKnown});
  }

  /** Returns a source of a kind that reads through other entries. */
  relayed(options: {
    kind: string;
    store: StateSource<unknown>;
    bound: AgeBound;
  }): StateSource<unknown> {
    const {kind, store, bound} = options;
    const {clock, random, limits} = this.options;
    const {storeMs, askMs} = longestWaits(bound, limits);
    const log = new ChangeLog({clock});
    this.logs.set(kind, log);
    return new RelayedSource({
      store,
      log,
      maxAsks: bound === AgeBound.NONE ? MAX_ASKS : 1,
      storeWaitMs: ({waitMs}) =>
        this.choice.hasOthers ? Math.min(waitMs, storeMs) : waitMs,
      clock,
      random,
      ask: ({since, epoch, waitMs}) =>
        this.ask(kind, {since, epoch, waitMs: Math.min(waitMs, askMs)}),
      onLogChanged: () => this.server.publish(kind),
      onStoreOutcome: (isSuccess) => {
        this.hasStoreFailed = !isSuccess;
        if (isSuccess) this.choice.recordSuccess(this.options.vm);
        else this.handleStoreFailure();
      },
    });
  }

  /**
   * Follows the other entries, and registers this one once it listens for them.
   * While its port is taken, it still asks the others.
   */
  start(options: {
    writer: StateWriter<EntryRecord>;
    source: StateSource<EntryRecord>;
  }): void {
    const {port} = this.options;
    if (port === undefined) return;
    const directory = new EntryDirectory({
      ...this.options,
      ...options,
      onEntries: (entries) => {
        this.choice.update(entries);
        this.entryVms = entries.map((entry) => entry.vm);
        this.setKnown();
      },
    });
    this.directory = directory;
    directory.start();
    this.options.supervisor.run({name: TaskName.PEERS}, async () => {
      const boundPort = await this.listenWhenFree(port);
      if (boundPort === undefined) return;
      const {vm, dataCentre, address, linkMbps} = this.options;
      const peerAddress = `${address}:${boundPort}`;
      directory.announce({
        vm,
        dataCentre,
        address: peerAddress,
        linkMbps,
      });
    });
  }

  /** Returns the port; undefined if this entry stops before it is free. */
  private async listenWhenFree(port: number): Promise<number | undefined> {
    const {address, clock, logger} = this.options;
    for (let attempt = 0; !this.isStopped; attempt++) {
      const listening = await this.server.listen({address, port});
      if (listening.isOk() && !this.isStopped) return listening.value;
      if (listening.isErr() && attempt % LISTEN_ATTEMPTS_PER_LOG_LINE === 0) {
        const {detail} = listening.error;
        logger.warn('not listening for other entries, will retry', {detail});
      }
      if (listening.isErr()) await sleep(clock, LISTEN_RETRY_MS);
    }
    this.server.close();
    return undefined;
  }

  /** Stops answering other entries, before a planned stop. */
  async leave(): Promise<void> {
    this.isStopped = true;
    this.server.close();
    await this.directory?.leave();
  }

  stop(): void {
    this.isStopped = true;
    this.server.close();
    this.directory?.stop();
    this.client?.connection.close();
  }

  get entries(): readonly string[] | undefined {
    return this.entryVms;
  }

  get hasGranter(): boolean {
    return this.client?.connection.canGrant === true;
  }

  members(): string[] {
    return this.server.connectedVms(MEMBER_SILENCE_MS);
  }

  askPermit(query: PermitQuery): Promise<PermitAnswer | undefined> {
    const {client} = this;
    if (client === undefined) return Promise.resolve(undefined);
    return client.connection.askPermit(query);
  }

  servePermits(grant: (query: PermitQuery) => PermitAnswer): void {
    this.grant = grant;
  }

  private handlePermitAsked(
    message: AskPermitMessage,
  ): PermitMessage | undefined {
    const nowMs = this.options.clock.now();
    const answer = this.grant?.(toPermitQuery(message, nowMs));
    if (answer === undefined) return undefined;
    return toPermit(answer, {askId: message.askId, nowMs});
  }

  private async ask(kind: string, query: ChangeQuery): Promise<AskResult> {
    await this.whenKnown;
    const reader = this.isDemanded ? undefined : this.choice.next();
    this.logReader(reader);
    if (reader === undefined) return NONE;
    const answer = await this.connectionTo(reader).watch(kind, query);
    // Closed by this entry, not by the reader.
    if (answer === undefined && this.isDemanded) return NONE;
    if (answer === undefined && this.client?.vm !== reader.vm) return FAILED;
    const result = toResult(answer, this.options.clock.now());
    this.options.metrics.count(CounterName.RELAYED_READS, {
      label: answer?.message.outcome ?? 'no_answer',
    });
    if (result.outcome === AskOutcome.FAILED)
      this.choice.recordFailure(reader.vm);
    else this.choice.recordSuccess(reader.vm);
    return result;
  }

  private connectionTo(reader: EntryRecord): WatchClient {
    if (this.client?.vm === reader.vm && !this.client.connection.isClosed)
      return this.client.connection;
    this.client?.connection.close();
    const connection = new WatchClient({
      ...this.options,
      hello: this.hello,
      entry: reader,
    });
    this.client = {vm: reader.vm, connection};
    return connection;
  }

  /** Whether other entries want this one to read the store. */
  private get isDemanded(): boolean {
    const sinceAskedMs = this.options.clock.now() - this.lastAskedMs;
    return this.server.isAwaited || sinceAskedMs < DEMAND_MS;
  }

  /** An entry that is asked reads the store, whomever it would have asked. */
  private handleAsked(): void {
    this.lastAskedMs = this.options.clock.now();
    this.client?.connection.close();
  }

  /** All kinds are read from one store, so none is current if one fails. */
  private handleStoreFailure(): void {
    this.choice.recordFailure(this.options.vm);
    for (const [kind, log] of this.logs) {
      if (!log.isReading) continue;
      log.stopReading();
      this.server.publish(kind);
    }
  }

  private logReader(reader: EntryRecord | undefined): void {
    if (reader?.vm === this.lastReader || this.isStopped) return;
    this.lastReader = reader?.vm;
    const message =
      reader === undefined
        ? 'changes are read from the store'
        : 'changes are read through another entry';
    this.options.logger.info(message, {reader: reader?.vm});
  }
}

/** An answer without a confirmation of its age is of no use. */
function toResult(answer: WatchAnswer | undefined, nowMs: number): AskResult {
  if (answer === undefined) return FAILED;
  const {message, sentAtMs} = answer;
  const {outcome, changes, revision, currentOffsetMs} = message;
  const isApart =
    outcome === WatchOutcome.TOO_OLD || outcome === WatchOutcome.BEHIND;
  if (isApart) return NONE;
  if (outcome !== WatchOutcome.OK || currentOffsetMs === undefined)
    return FAILED;
  // Whatever the reader says, it tells of no later time.
  const currentAtMs = Math.min(sentAtMs + currentOffsetMs, nowMs);
  return {
    outcome: AskOutcome.ANSWERED,
    changes: {changes, revision, currentAtMs},
  };
}
