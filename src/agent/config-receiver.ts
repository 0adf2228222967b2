/** Stores the configuration that an agent receives from entries. */
import type {Clock} from '../core/clock/index.js';
import {ConfigHolder, ExchangeStep} from '../core/config/distribution/index.js';
import type {ConfigMessage, Message} from '../core/protocol/index.js';
import {MessageType} from '../core/protocol/index.js';
import type {AgentBoard} from './agent-board.js';

/**
 * Keeps the highest version received, for entries that start while the
 * platform is unavailable and request it from this agent. Every heartbeat
 * contains the version number.
 */
export class ConfigReceiver {
  private readonly holder = new ConfigHolder();
  private confirmedAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: {board: AgentBoard; clock: Clock}) {}

  /** Time since the platform last confirmed the version, in milliseconds. */
  ageMs(): number {
    return this.options.clock.now() - this.confirmedAtMs;
  }

  /** Handles a version from an entry; returns a newer one to send back. */
  handleMessage(message: ConfigMessage): Message | undefined {
    const {version, value, ageMs} = message;
    const step = this.holder.resolveStep({version, value});
    if (step === ExchangeStep.SEND) return this.createConfig();
    if (step === ExchangeStep.ASK) return undefined;
    this.holder.offer({version, value});
    const confirmedAtMs = this.options.clock.now() - ageMs;
    this.confirmedAtMs = Math.max(this.confirmedAtMs, confirmedAtMs);
    this.options.board.configVersion.set(version);
    return undefined;
  }

  private createConfig(): ConfigMessage {
    const {version, value} = this.holder.latest;
    return {type: MessageType.CONFIG, version, value, ageMs: this.ageMs()};
  }
}
