/** Settings of an entry that calls its targets directly. */
import type {RolloutSettings} from '../rollouts/index.js';

/** An address on which a process listens. */
export interface ListenAddress {
  /** IP address. */
  readonly host: string;
  readonly port: number;
}

/** Limits the retries of all entries together. */
export interface RetryBudgetSettings {
  /** Number of retries allowed per request. */
  readonly ratio: number;
  /** Length of the window to which the ratio and the slack apply. */
  readonly windowMs: number;
  /** Number of retries per window that are allowed in addition to the ratio. */
  readonly slack: number;
}

/** All settings of an entry that calls its targets directly. */
export interface DirectSettings {
  /** Name of this VM. */
  readonly vm: string;
  /** IP address of this VM. */
  readonly address: string;
  readonly dataCentre: string;
  /** Address on which callers connect. */
  readonly callers: ListenAddress;
  /** Address of the readiness probe. */
  readonly readiness: ListenAddress;
  /**
   * Port on which other entries connect; undefined if entries do not connect to
   * each other.
   */
  readonly peerPort?: number;
  /** Base URL of the platform's store. */
  readonly storeUrl: string;
  /** Grace period between the signal to stop and the forced exit. */
  readonly shutdownGraceMs: number;
  /** Time within which a changed configuration must be applied. */
  readonly configApplyMs: number;
  /** Time within which a draining target must stop receiving new work. */
  readonly targetDrainMs: number;
  /**
   * Time within which a revoked key must be refused; undefined for no bound.
   */
  readonly keyRevocationMs?: number;
  readonly retryBudget: RetryBudgetSettings;
  /** Bounds on roll-outs; undefined where none are ordered. */
  readonly rollout?: RolloutSettings;
  /** Memory that the platform allows the process, in bytes. */
  readonly memoryBytes: number;
  /** Bandwidth of the VM's link, in Mbit/s; undefined if it is not known. */
  readonly linkMbps?: number;
  /** Descriptors that the platform allows; undefined if it does not say. */
  readonly maxDescriptors?: number;
}

/** Share of the memory of a process for the messages that it holds. */
const MESSAGE_MEMORY_SHARE = 0.15;

/** Memory of a process that holds no messages, in bytes. */
const PROGRAM_BYTES = 110 * 1024 * 1024;

/** Share of the rest for messages: each is garbage for a while afterwards. */
const FREE_MEMORY_SHARE = 1 / 3;

/** Memory for messages on any machine, in bytes. */
const MIN_MESSAGE_BYTES = 8 * 1024 * 1024;

/**
 * Returns the memory for messages in bytes; the rest is for the program, its
 * heap and its connections.
 *
 * @example
 * new MemoryBudget({limitBytes: messageMemoryBytes(settings)});
 */
export function messageMemoryBytes(settings: DirectSettings): number {
  const {memoryBytes} = settings;
  const share = memoryBytes * MESSAGE_MEMORY_SHARE;
  const free = (memoryBytes - PROGRAM_BYTES) * FREE_MEMORY_SHARE;
  return Math.max(MIN_MESSAGE_BYTES, Math.min(share, free));
}

/** Share of the rest that buffers of messages that are over may take. */
const GARBAGE_SHARE = 0.2;

/**
 * Returns the bytes by which buffers may grow before those that are not used any
 * more are freed.
 *
 * @example
 * new GarbageBound({allowedBytes: garbageBytes(settings), memory, clock});
 */
export function garbageBytes({memoryBytes}: DirectSettings): number {
  const free = (memoryBytes - PROGRAM_BYTES) * GARBAGE_SHARE;
  return Math.max(MIN_MESSAGE_BYTES, free);
}
