/** Version of the messages; both sides must speak the same one. */
export const PROTOCOL_VERSION = 1;

/** Bytes of the length in front of each frame, big-endian. */
export const LENGTH_BYTES = 4;

/** Largest frame body in bytes; holds a request body and its answer so far. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;

/** A connection must greet within this time, in milliseconds. */
export const HELLO_TIMEOUT_MS = 2_000;
