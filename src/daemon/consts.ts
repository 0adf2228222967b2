/** Exit status if the settings are invalid. */
export const EXIT_BAD_SETTINGS = 2;

/** Exit status if the process cannot listen on an address. */
export const EXIT_CANNOT_LISTEN = 1;

/**
 * Time to send the last responses before the process exits, in milliseconds;
 * also the interval at which open responses are checked for.
 */
export const EXIT_FLUSH_MS = 100;
