/** Bounds of connections that follow from those of a machine. */
import {
  ACCEPTED_SHARE,
  AHEAD_MEMORY_SHARE,
  CONNECTION_AHEAD_BYTES,
  DEFAULT_UNREAD_TIMEOUT_MS,
  MAX_RESERVED_SHARE,
  MEMORY_PER_CONNECTION_BYTES,
  MIN_RESERVED_DESCRIPTORS,
  RESERVED_DESCRIPTORS,
} from './consts.js';
import type {ConnectionLimits} from './types.js';

/**
 * Derives the bounds of connections from the memory of the process and the
 * descriptors that it may open. Settings go before what is derived.
 *
 * @example
 * deriveLimits({memoryBytes: 200 * 1024 * 1024, descriptors: 4_096});
 */
export function deriveLimits(options: {
  memoryBytes: number;
  descriptors: number;
  /** As set by the operator. */
  maxConnections?: number;
  unreadTimeoutMs?: number;
}): ConnectionLimits {
  const {memoryBytes, descriptors} = options;
  const byMemory = memoryBytes / MEMORY_PER_CONNECTION_BYTES;
  const free = Math.max(2, descriptors - reservedOf(descriptors));
  const derived = Math.floor(Math.min(byMemory, free * ACCEPTED_SHARE));
  return {
    maxConnections: options.maxConnections ?? Math.max(1, derived),
    maxConnectionAheadBytes: CONNECTION_AHEAD_BYTES,
    maxAheadBytes: memoryBytes * AHEAD_MEMORY_SHARE,
    unreadTimeoutMs: options.unreadTimeoutMs ?? DEFAULT_UNREAD_TIMEOUT_MS,
  };
}

function reservedOf(descriptors: number): number {
  const share = Math.floor(descriptors * MAX_RESERVED_SHARE);
  const reserved = Math.min(RESERVED_DESCRIPTORS, share);
  return Math.max(MIN_RESERVED_DESCRIPTORS, reserved);
}
