/** File name that problems show for overrides of the command line. */
export const OVERRIDE_FILE = '--set';

/** Largest TCP port. */
export const MAX_PORT = 65_535;
