/**
 * Starts of targets of a data centre within this time belong to one outage, in
 * milliseconds.
 */
export const RESTART_WINDOW_MS = 1_500;

/** Least share of a data centre's targets that start again after an outage. */
export const MIN_RESTARTED_SHARE = 0.25;

/** Least number of targets that start again after an outage. */
export const MIN_RESTARTED = 3;

/** Time for which an outage counts, in milliseconds. */
export const OUTAGE_MEMORY_MS = 20_000;

/** Outages that are remembered for each service. */
export const MAX_OUTAGES = 8;

/** Least share of outages in turn from which the next one is foreseen. */
export const MIN_TURN_SHARE = 0.67;

/** Time for which a forecast is used again, in milliseconds. */
export const FORECAST_CACHE_MS = 250;

/**
 * Cost of an engine in the data centre that an outage is expected in next, in
 * running requests.
 */
export const NEXT_OUTAGE_COST = 2;
