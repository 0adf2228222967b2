/** Exit status after settings that cannot be used. */
export const EXIT_BAD_SETTINGS = 2;

/** Exit status after an address that cannot be listened on. */
export const EXIT_CANNOT_LISTEN = 1;

/** Time for the last answers to leave before the process exits. */
export const EXIT_FLUSH_MS = 100;
