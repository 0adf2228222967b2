/** Answers the watches of other entries from what this entry has read. */
import type {Clock, TimerHandle} from '../../core/clock/index.js';
import type {ConnectionTable} from '../../core/connections/index.js';
import type {
  AskPermitMessage,
  ChangesMessage,
  HelloMessage,
  Message,
  PeerConnection,
  PermitMessage,
  WatchMessage,
} from '../../core/protocol/index.js';
import {
  MessageType,
  PeerServer,
  WatchOutcome,
} from '../../core/protocol/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {ChangeLog} from '../../core/relay/index.js';
import {LogAnswer} from '../../core/relay/index.js';
import {
  ALIVE_INTERVAL_MS,
  MAX_QUESTION_BYTES,
  MAX_WAITING_WATCHES,
  READ_BEGIN_LIMIT_MS,
} from './consts.js';

/** A watch of another entry that waits for an answer. */
interface WaitingWatch {
  readonly message: WatchMessage;
  readonly connection: PeerConnection;
  readonly receivedAtMs: number;
  limit: TimerHandle;
}

/** An entry that is connected to this one. */
interface ConnectedEntry {
  readonly vm: string;
  /** When it last sent a message, on the monotonic clock. */
  heardAtMs: number;
}

/** The answer to a watch, without the fields that every answer has. */
type Answer = Pick<ChangesMessage, 'outcome' | 'changes'>;

/**
 * Serves entries that ask this one for changes. A watch is answered with the
 * changes that it lacks, or else at the end of the next read, which the question
 * itself may cause. While an entry
 * waits it is shown at intervals that this one is alive.
 *
 * @example
 * const server = new WatchServer({hello, logs, clock, onAsked, mayRead});
 * await server.listen({address: '10.0.0.7', port: 7_200});
 * server.publish('config'); // after a read
 */
export class WatchServer {
  private readonly server: PeerServer;
  private readonly connections = new Map<PeerConnection, ConnectedEntry>();
  private readonly waiting = new Set<WaitingWatch>();
  private aliveTimer?: TimerHandle;

  constructor(
    private readonly options: {
      hello: HelloMessage;
      /** The logs of the kinds that this entry may read. */
      logs: ReadonlyMap<string, ChangeLog>;
      clock: Clock;
      supervisor: Supervisor;
      /** Bounds the connections of the process; none by default. */
      connections?: ConnectionTable;
      /** Called when another entry asks for changes, if this one may read. */
      onAsked: () => void;
      /** Whether the store answers this entry, as far as it knows. */
      mayRead: () => boolean;
      /** Answers a question for a permit; undefined if it cannot. */
      onPermitAsked: (message: AskPermitMessage) => PermitMessage | undefined;
    },
  ) {
    const {hello, clock, supervisor} = options;
    this.server = new PeerServer({
      hello,
      clock,
      supervisor,
      table: options.connections,
      maxFrameBytes: MAX_QUESTION_BYTES,
      isPaced: true,
      createListener: (connection) => ({
        onReady: this.guard(connection, ({vm}: HelloMessage) =>
          this.connections.set(connection(), {vm, heardAtMs: clock.now()}),
        ),
        onMessage: this.guard(connection, (message: Message) =>
          this.receive(message, connection()),
        ),
        onDrain: () => undefined,
        onClose: this.guard(connection, () => this.forget(connection())),
      }),
    });
  }

  /** An exception closes the connection of the entry that it concerns. */
  private guard<Args extends unknown[]>(
    connection: () => PeerConnection,
    callback: (...args: Args) => unknown,
  ): (...args: Args) => void {
    const onFailure = () => connection().destroy('internal failure');
    const task = {name: TaskName.PEERS, onFailure};
    return this.options.supervisor.guard(task, callback);
  }

  /** Whether other entries wait for changes. */
  get isAwaited(): boolean {
    return this.waiting.size > 0;
  }

  /** Starts listening; returns the port. May be repeated after an error. */
  listen(at: {address: string; port: number}) {
    const {clock, supervisor} = this.options;
    this.aliveTimer ??= clock.repeat({
      periodMs: ALIVE_INTERVAL_MS,
      run: supervisor.guard({name: TaskName.PEERS}, () => this.showAlive()),
    });
    return this.server.listen(at);
  }

  /** Answers the watches of a kind after a read, or once it is not read. */
  publish(kind: string): void {
    for (const watch of [...this.waiting]) {
      if (watch.message.kind !== kind) continue;
      const {connection} = watch;
      this.guard(
        () => connection,
        () => this.answerAfterRead(watch),
      )();
    }
  }

  /** Closes all connections, which moves the entries to other readers. */
  close(): void {
    this.aliveTimer?.cancel();
    for (const {limit} of this.waiting) limit.cancel();
    this.waiting.clear();
    this.server.close();
    for (const connection of this.connections.keys())
      connection.destroy('stopped');
  }

  /** VMs of the entries from which a message came within a time. */
  connectedVms(maxSilenceMs: number): string[] {
    const earliestMs = this.options.clock.now() - maxSilenceMs;
    return [...this.connections.values()]
      .filter(({heardAtMs}) => heardAtMs >= earliestMs)
      .map(({vm}) => vm);
  }

  private receive(message: Message, connection: PeerConnection): void {
    const entry = this.connections.get(connection);
    if (entry !== undefined) entry.heardAtMs = this.options.clock.now();
    if (message.type === MessageType.WATCH) this.watch(message, connection);
    if (message.type !== MessageType.ASK_PERMIT) return;
    const permit = this.options.onPermitAsked(message);
    if (permit !== undefined) connection.send(permit);
  }

  private watch(message: WatchMessage, connection: PeerConnection): void {
    if (this.options.mayRead()) this.options.onAsked();
    const answer = this.answerOf(message);
    const watch: WaitingWatch = {
      message,
      connection,
      receivedAtMs: this.options.clock.now(),
      limit: this.options.clock.schedule({
        delayMs: this.limitOf(message),
        run: this.guard(
          () => connection,
          () => this.handleLimit(watch),
        ),
      }),
    };
    this.waiting.add(watch);
    if (answer !== undefined) this.send(watch, answer);
    else if (this.countWaiting(connection) > MAX_WAITING_WATCHES)
      connection.destroy('too many watches');
  }

  private answerAfterRead(watch: WaitingWatch): void {
    const {message} = watch;
    const answer = this.answerOf(message);
    if (answer !== undefined) this.send(watch, answer);
    // The read may have begun before the entry reached its revision elsewhere.
    else if (this.hasRead(message)) this.send(watch, NO_CHANGES);
  }

  /** A watch of a kind that is not read waits only for the reads to begin. */
  private limitOf(message: WatchMessage): number {
    const {waitMs} = message;
    return this.isReading(message)
      ? waitMs
      : Math.min(waitMs, READ_BEGIN_LIMIT_MS);
  }

  private handleLimit(watch: WaitingWatch): void {
    const {message, receivedAtMs} = watch;
    const {clock} = this.options;
    const leftMs = receivedAtMs + message.waitMs - clock.now();
    if (this.hasRead(message)) this.send(watch, NO_CHANGES);
    else if (leftMs <= 0 || !this.isReading(message)) this.send(watch, BEHIND);
    // The reads have begun since; the first has not ended.
    else
      watch.limit = clock.schedule({
        delayMs: leftMs,
        run: this.guard(
          () => watch.connection,
          () => this.handleLimit(watch),
        ),
      });
  }

  private isReading({kind}: WatchMessage): boolean {
    return this.options.logs.get(kind)?.isReading === true;
  }

  /** Whether this entry reads the kind and can tell of the revision. */
  private hasRead({kind, since, epoch}: WatchMessage): boolean {
    const log = this.options.logs.get(kind);
    if (log?.isReading !== true || !log.isOfEpoch(epoch)) return false;
    return log.revision >= since && log.confirmedAtMs !== undefined;
  }

  /** The answer to a watch that needs no further read. */
  private answerOf({kind, since, epoch}: WatchMessage): Answer | undefined {
    const log = this.options.logs.get(kind);
    if (log === undefined || !this.options.mayRead()) return NOT_READING;
    const answer = log.answer(since, epoch);
    if (answer === LogAnswer.TOO_OLD) return TOO_OLD;
    if (answer !== LogAnswer.CHANGES) return undefined;
    const changes = log.changesSince(since).map(({name, value, isDeleted}) => ({
      name,
      value: value ?? null,
      isDeleted,
    }));
    return {outcome: WatchOutcome.OK, changes};
  }

  private send(watch: WaitingWatch, answer: Answer): void {
    const {message, connection, receivedAtMs} = watch;
    watch.limit.cancel();
    this.waiting.delete(watch);
    const log = this.options.logs.get(message.kind);
    const confirmedAtMs = log?.confirmedAtMs;
    connection.send({
      type: MessageType.CHANGES,
      watchId: message.watchId,
      ...answer,
      // Never takes the entry back.
      revision: Math.max(log?.revision ?? 0, message.since),
      currentOffsetMs:
        confirmedAtMs === undefined ? undefined : confirmedAtMs - receivedAtMs,
    });
  }

  private countWaiting(connection: PeerConnection): number {
    return [...this.waiting].filter((w) => w.connection === connection).length;
  }

  private showAlive(): void {
    const dueMs = this.options.clock.now() - ALIVE_INTERVAL_MS / 2;
    for (const connection of this.connections.keys()) {
      if (connection.sentAtMs <= dueMs)
        connection.send({type: MessageType.ALIVE});
    }
  }

  private forget(connection: PeerConnection): void {
    this.connections.delete(connection);
    for (const watch of [...this.waiting]) {
      if (watch.connection !== connection) continue;
      watch.limit.cancel();
      this.waiting.delete(watch);
    }
  }
}

const NO_CHANGES: Answer = {outcome: WatchOutcome.OK, changes: []};
const NOT_READING: Answer = {
  outcome: WatchOutcome.NOT_READING,
  changes: [],
};
const TOO_OLD: Answer = {outcome: WatchOutcome.TOO_OLD, changes: []};
const BEHIND: Answer = {outcome: WatchOutcome.BEHIND, changes: []};
