/** Reference workload and limits for the capacity calculations. */

/** Size of the site and its total load at the peak. */
export const ENTRIES = 900;
export const TARGETS = 6_000;
export const REQUESTS_PER_SECOND = 87_000;
export const TOKENS_PER_SECOND = 27_000_000;
export const MODELS = 6;
export const DATA_CENTRES = 8;
export const CONFIG_CHANGES_PER_DAY = 13_000;

/** Time between the tokens of a stream at the peak, in seconds. */
export const TOKEN_GAP_S = 0.05;

/**
 * Limits per entry or agent for its control work: share of a core, memory and
 * network traffic.
 */
export const CONTROL_CORE_SHARE = 0.017;
export const CONTROL_MEMORY_BYTES = 64 * 1_024 * 1_024;
export const CONTROL_BYTES_PER_SECOND = 9_000;

/** Limits of the platform; 300 stands for "several hundred" writes. */
export const PLATFORM_READS_PER_SECOND = 2_000;
export const PLATFORM_WRITES_PER_SECOND = 300;

/** Heartbeats per second from each target that an entry watches. */
export const HEARTBEATS_PER_SECOND = 1;

/** Reads of the VM list per second by each entry. */
export const VM_LIST_READS_PER_SECOND = 2;

export const SECONDS_PER_DAY = 86_400;
export const US_PER_SECOND = 1_000_000;
export const BYTES_PER_KB = 1_024;
