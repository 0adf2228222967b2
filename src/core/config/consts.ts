import {ObjectKind} from '../edges/object-store.js';
import type {LimitsConfig} from './types.js';

/** The one object that holds the accepted configuration. */
export const CONFIG_OBJECT = {
  kind: ObjectKind.CONFIG,
  name: 'deployment',
} as const;

/** Ending of overlay files; the rest of the name is the site. */
export const OVERLAY_EXTENSION = '.yaml';

/** Key by which an overlay names its site. */
export const SITE_KEY = 'site';

/** Shortest deadline of a service, in milliseconds. */
export const MIN_DEADLINE_MS = 1_000;

/** Longest deadline of a service, in milliseconds. */
export const MAX_DEADLINE_MS = 4 * 60 * 60 * 1_000;

/** Deadline of a service that states none, in milliseconds. */
export const DEFAULT_DEADLINE_MS = 60_000;

/** Retries per first try of a service that states none. */
export const DEFAULT_RETRY_RATIO = 0.1;

/** Share of a client account that states none. */
export const DEFAULT_WEIGHT = 1;

/** Largest share of a client account. */
export const MAX_WEIGHT = 1_000;

/** Largest bound on the requests at once of a client account. */
export const MAX_CONCURRENT = 100_000;

/** Largest bound on bodies, in bytes; half of a frame between processes. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** Largest bound on `max_tokens`: a whole answer fits into one frame. */
export const MAX_MAX_TOKENS = 131_072;

/** Limits of a deployment that states none. */
export const DEFAULT_LIMITS = {
  bodyBytes: 1_048_576,
  bodyTimeoutMs: 10_000,
  maxTokens: 32_768,
  queueLength: 256,
} as const satisfies LimitsConfig;
