/** Callbacks of a link to an agent, and the configuration that it sends. */
import type {ConfigUpdate} from '../../core/config/distribution/index.js';
import type {RetryReason} from '../../core/errors/index.js';
import type {
  EndMessage,
  FailedMessage,
  KeyStateMessage,
  LineageMessage,
  RefusedMessage,
  ReplyMessage,
  TokensMessage,
} from '../../core/protocol/index.js';

/** Receives the messages of one attempt or call at an agent. */
export interface LinkHandler {
  onTokens?(message: TokensMessage): void;
  /** Another entry reports which attempt generated the tokens that follow. */
  onLineage?(message: LineageMessage): void;
  onEnd?(message: EndMessage): void;
  onFailed?(message: FailedMessage): void;
  onReply?(message: ReplyMessage): void;
  onKeyState?(message: KeyStateMessage): void;
  onRefused(message: RefusedMessage): void;
  /** The agent is disconnected or silent; no other callback follows. */
  onLost(reason: RetryReason): void;
  /** The agent has started to drain. */
  onDraining?(): void;
  /** The agent has been silent long enough for a hedged attempt. */
  onHedgeDue?(): void;
}

/** The configuration that an entry exchanges with its agents. */
export interface AgentConfigSource {
  /** The highest version that this entry holds. */
  latest(): ConfigUpdate;
  /** Time since the platform last confirmed it, in milliseconds. */
  ageMs(): number;
  /** Handles the version that an agent sent. */
  receiveFromAgent(update: ConfigUpdate, ageMs: number): void;
}
