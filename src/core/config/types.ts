/** The accepted configuration of a deployment. */
import type {Layer, LayerError} from '../errors/index.js';
import type {Problem} from '../yaml-check/index.js';

/**
 * What a deployment optimizes for when it recovers from the loss of a target.
 */
export enum RecoveryGoal {
  /**
   * Short interruptions: suspects losses sooner, hedges attempts and reserves
   * capacity for resumes.
   */
  LATENCY = 'latency',
  /**
   * Little additional work: does not hedge, and resumes where the prompt is
   * cached.
   */
  RESOURCES = 'resources',
}

/** Kinds of services. */
export enum ServiceKind {
  GENERATION = 'generation',
  PLAIN = 'plain',
}

/** Scheduling priority of a service. */
export enum PriorityClass {
  HIGH = 'high',
  NORMAL = 'normal',
  LOW = 'low',
}

/** Configuration of one service. */
export interface ServiceConfig {
  readonly name: string;
  readonly kind: ServiceKind;
  /** Models that a generation service serves; empty for a plain service. */
  readonly models: readonly string[];
  /** Whether calls may be retried without an idempotency key. */
  readonly idempotent: boolean;
  readonly priorityClass: PriorityClass;
  /** Default time allowed for a request, in milliseconds. */
  readonly deadlineMs: number;
  /** Ratio of retries, for any reason, to first attempts. */
  readonly retryRatio: number;
}

/** Configuration of one client account. */
export interface ClientAccountConfig {
  readonly name: string;
  /** SHA-256 of the account's bearer key, in hexadecimal. */
  readonly keySha256: string;
  /** Share of the capacity under contention, relative to other accounts. */
  readonly weight: number;
  /** Maximum number of concurrent requests over all entries. */
  readonly maxConcurrent: number;
}

/** Limits on the requests of callers. */
export interface LimitsConfig {
  /** Largest request body, in bytes. */
  readonly bodyBytes: number;
  /** Time within which a caller must send its body, in milliseconds. */
  readonly bodyTimeoutMs: number;
  /** Largest `max_tokens` of a request. */
  readonly maxTokens: number;
  /** Maximum number of requests queued at one entry. */
  readonly queueLength: number;
}

/** How the loss of targets is recovered from. */
export interface RecoveryConfig {
  readonly weigh: RecoveryGoal;
}

/** Configuration of a deployment at one site. */
export interface SiteConfig {
  readonly deployment: string;
  readonly recovery: RecoveryConfig;
  readonly services: readonly ServiceConfig[];
  readonly clientAccounts: readonly ClientAccountConfig[];
  readonly limits: LimitsConfig;
}

/** Source of a configuration: a base and an overlay for each site. */
export interface ConfigDocument {
  /** Content of the base file. */
  readonly base: unknown;
  readonly overlays: readonly SiteOverlay[];
}

/** The overlay of one site. */
export interface SiteOverlay {
  readonly site: string;
  readonly content: unknown;
}

/** The accepted configuration as it is stored in the platform. */
export interface StoredConfig {
  /**
   * Random id of the write. If the response to the write is lost, a read of the
   * nonce shows whether the write took effect.
   */
  readonly nonce: string;
  /** Name of the operator who applied the document. */
  readonly operator: string;
  readonly document: ConfigDocument;
}

/** Why a configuration cannot be used. */
export enum ConfigErrorKind {
  /** The configuration has problems. */
  INVALID = 'invalid',
  /** The configuration has no overlay for the site. */
  UNKNOWN_SITE = 'unknown_site',
}

/** An error of the configuration layer. */
export interface ConfigError extends LayerError<Layer.CONFIG, ConfigErrorKind> {
  readonly problems: readonly Problem[];
}
