/** File name shown in problems of command-line overrides. */
export const OVERRIDE_FILE = '--set';

/** Largest TCP port. */
export const MAX_PORT = 65_535;

/** Largest memory of a process, in MB. */
export const MAX_MEMORY_MB = 1_048_576;

/** Largest bound on the connections of a process. */
export const MAX_CONNECTIONS = 1_000_000;

/** Largest time for reading a part of a response, in milliseconds. */
export const MAX_UNREAD_TIMEOUT_MS = 3_600_000;
