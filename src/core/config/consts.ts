import {ObjectKind} from '../edges/object-store.js';
import type {LimitsConfig} from './types.js';

/** Key of the object that stores the accepted configuration. */
export const CONFIG_OBJECT = {
  kind: ObjectKind.CONFIG,
  name: 'deployment',
} as const;

/** Extension of overlay files; the rest of the file name is the site. */
export const OVERLAY_EXTENSION = '.yaml';

/** Key of an overlay that contains the name of its site. */
export const SITE_KEY = 'site';

/** Shortest deadline of a service, in milliseconds. */
export const MIN_DEADLINE_MS = 1_000;

/** Longest deadline of a service, in milliseconds. */
export const MAX_DEADLINE_MS = 4 * 60 * 60 * 1_000;

/** Default deadline of a service, in milliseconds. */
export const DEFAULT_DEADLINE_MS = 60_000;

/** Default ratio of retries to first attempts of a service. */
export const DEFAULT_RETRY_RATIO = 0.1;

/** Default weight of a client account. */
export const DEFAULT_WEIGHT = 1;

/** Largest weight of a client account. */
export const MAX_WEIGHT = 1_000;

/** Upper bound for the concurrent requests of a client account. */
export const MAX_CONCURRENT = 100_000;

/** Upper bound for request bodies, in bytes; half of the largest peer frame. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;

/**
 * Upper bound for `max_tokens`: the complete output fits into one peer frame.
 */
export const MAX_MAX_TOKENS = 131_072;

/** Default limits of a deployment. */
export const DEFAULT_LIMITS = {
  bodyBytes: 1_048_576,
  bodyTimeoutMs: 10_000,
  maxTokens: 32_768,
  queueLength: 256,
} as const satisfies LimitsConfig;
