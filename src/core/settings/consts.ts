/** File name shown in problems of command-line overrides. */
export const OVERRIDE_FILE = '--set';

/** Largest TCP port. */
export const MAX_PORT = 65_535;
