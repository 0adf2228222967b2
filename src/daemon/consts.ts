/** Exit status if the settings are invalid. */
export const EXIT_BAD_SETTINGS = 2;

/** Exit status if the process cannot listen on an address. */
export const EXIT_CANNOT_LISTEN = 1;

/** Time to flush the last responses before the process exits, in ms. */
export const EXIT_FLUSH_MS = 100;
