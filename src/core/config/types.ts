/** The accepted configuration of a deployment. */
import type {Layer, LayerError} from '../errors/index.js';
import type {Problem} from '../yaml-check/index.js';

/** What a deployment weighs when it recovers from a loss. */
export enum RecoveryGoal {
  LATENCY = 'latency',
  RESOURCES = 'resources',
}

/** What a service is. */
export enum ServiceKind {
  GENERATION = 'generation',
  PLAIN = 'plain',
}

/** Which work goes first; a deployment says which of its services is what. */
export enum PriorityClass {
  HIGH = 'high',
  NORMAL = 'normal',
  LOW = 'low',
}

/** One service as operators declare it. */
export interface ServiceConfig {
  readonly name: string;
  readonly kind: ServiceKind;
  /** Models that a generation service serves; empty for a plain one. */
  readonly models: readonly string[];
  /** Whether calls may be repeated freely. */
  readonly idempotent: boolean;
  readonly priorityClass: PriorityClass;
  /** Time allowed where the caller states none, in milliseconds. */
  readonly deadlineMs: number;
  /** Retries per first try that all retry reasons share. */
  readonly retryRatio: number;
}

/** One client account. */
export interface ClientAccountConfig {
  readonly name: string;
  /** SHA-256 of the account's bearer key, in hexadecimal. */
  readonly keySha256: string;
  /** Share under contention, relative to the other accounts. */
  readonly weight: number;
  /** Requests at once over all entries. */
  readonly maxConcurrent: number;
}

/** Bounds of what callers may ask. */
export interface LimitsConfig {
  readonly bodyBytes: number;
  /** Time for a caller to send its body, in milliseconds. */
  readonly bodyTimeoutMs: number;
  /** Largest `max_tokens`. */
  readonly maxTokens: number;
  /** Requests that wait at one entry. */
  readonly queueLength: number;
}

/** How losses are recovered from. */
export interface RecoveryConfig {
  readonly weigh: RecoveryGoal;
}

/** A deployment's configuration as it holds at one site. */
export interface SiteConfig {
  readonly deployment: string;
  readonly recovery: RecoveryConfig;
  readonly services: readonly ServiceConfig[];
  readonly clientAccounts: readonly ClientAccountConfig[];
  readonly limits: LimitsConfig;
}

/** What operators accept: one base and an overlay for each site. */
export interface ConfigDocument {
  /** The base file's content. */
  readonly base: unknown;
  /** Overlays by site. */
  readonly overlays: readonly SiteOverlay[];
}

/** The overlay of one site. */
export interface SiteOverlay {
  readonly site: string;
  readonly content: unknown;
}

/** What the platform holds as the accepted configuration. */
export interface StoredConfig {
  /** Identifies one write, so that a lost answer is settled by reading. */
  readonly nonce: string;
  /** Who accepted the document. */
  readonly operator: string;
  readonly document: ConfigDocument;
}

/** Why a configuration cannot be used. */
export enum ConfigErrorKind {
  /** It has problems. */
  INVALID = 'invalid',
  /** It has no overlay for the site. */
  UNKNOWN_SITE = 'unknown_site',
}

/** An error of the configuration layer. */
export interface ConfigError extends LayerError<Layer.CONFIG, ConfigErrorKind> {
  readonly problems: readonly Problem[];
}
