/** What an agent's connection tells to those who use it. */
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

/** Hears what becomes of one attempt or call at an agent. */
export interface LinkHandler {
  onTokens?(message: TokensMessage): void;
  /** Another entry tells which attempt the next tokens are of. */
  onLineage?(message: LineageMessage): void;
  onEnd?(message: EndMessage): void;
  onFailed?(message: FailedMessage): void;
  onReply?(message: ReplyMessage): void;
  onKeyState?(message: KeyStateMessage): void;
  onRefused(message: RefusedMessage): void;
  /** The agent is gone or silent; no other word comes. */
  onLost(reason: RetryReason): void;
  /** The agent has begun to leave. */
  onDraining?(): void;
  /** The agent has been silent for a while, but is not suspected yet. */
  onHedgeDue?(): void;
}

/** The configuration that an entry shares with its agents. */
export interface AgentConfigSource {
  latest(): ConfigUpdate;
  ageMs(): number;
  receiveFromAgent(news: ConfigUpdate, ageMs: number): void;
}
