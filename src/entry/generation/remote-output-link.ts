/** Reads the buffered output of one generation from another entry. */
import {connect} from 'node:net';

import type {Clock, TimerHandle} from '../../core/clock/index.js';
import type {VmRecord} from '../../core/edges/index.js';
import {RetryReason} from '../../core/errors/index.js';
import type {
  ConnectionListener,
  HelloMessage,
  Message,
} from '../../core/protocol/index.js';
import {MessageType, PeerConnection} from '../../core/protocol/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {LinkHandler} from '../links/link-handler.js';
import type {AttemptLink} from './attempt-link.js';
import {REMOTE_OUTPUT_TIMEOUT_MS} from './consts.js';

/** A connection that serves one generation and is closed with it. */
export class RemoteOutputLink implements AttemptLink, ConnectionListener {
  private connection: PeerConnection | undefined;
  private handler: LinkHandler | undefined;
  private request: Message | undefined;
  private timer: TimerHandle | undefined;

  constructor(
    private readonly options: {
      record: VmRecord;
      hello: HelloMessage;
      clock: Clock;
      supervisor: Supervisor;
    },
  ) {}

  get vm(): string {
    return this.options.record.name;
  }

  open(options: {id: string; message: Message; handler: LinkHandler}): boolean {
    const {record, hello, clock, supervisor} = this.options;
    this.handler = options.handler;
    this.request = options.message;
    const socket = connect({host: record.address, port: record.peerPort});
    this.connection = new PeerConnection({
      socket,
      hello,
      clock,
      supervisor,
      listener: this,
    });
    this.resetSilenceTimer();
    return true;
  }

  send(): void {
    // Nothing to send: the other entry stops when the connection closes.
  }

  release(): void {
    this.handler = undefined;
    this.timer?.cancel();
    this.connection?.destroy('the output is no longer needed');
  }

  onReady(): void {
    if (this.request !== undefined) this.connection?.send(this.request);
  }

  onMessage(message: Message): void {
    const {handler} = this;
    if (handler === undefined) return;
    this.resetSilenceTimer();
    switch (message.type) {
      case MessageType.LINEAGE:
        handler.onLineage?.(message);
        return;
      case MessageType.TOKENS:
        handler.onTokens?.(message);
        return;
      case MessageType.END:
        handler.onEnd?.(message);
        return;
      case MessageType.REFUSED:
        handler.onRefused(message);
        return;
      default:
        return;
    }
  }

  onFrameProgress(): void {
    if (this.handler !== undefined) this.resetSilenceTimer();
  }

  onDrain(): void {
    // Only one small message is sent, so no send waits for a drain.
  }

  onClose(): void {
    this.fail(RetryReason.AGENT_GONE);
  }

  private resetSilenceTimer(): void {
    this.timer?.cancel();
    const {clock, supervisor} = this.options;
    this.timer = clock.schedule({
      delayMs: REMOTE_OUTPUT_TIMEOUT_MS,
      run: supervisor.guard({name: TaskName.GENERATION}, () =>
        this.fail(RetryReason.AGENT_SILENT),
      ),
    });
  }

  private fail(reason: RetryReason): void {
    const {handler} = this;
    this.release();
    handler?.onLost(reason);
  }
}
