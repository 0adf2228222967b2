/** Version of the messages; both sides must speak the same one. */
export const PROTOCOL_VERSION = 1;

/** Bytes of the length in front of each frame, big-endian. */
export const LENGTH_BYTES = 4;

/** Largest frame body in bytes; holds a request body and its answer so far. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;

/** A connection must greet within this time, in milliseconds. */
export const HELLO_TIMEOUT_MS = 2_000;

/** A peer that leaves this many bytes unread is cut off. */
export const MAX_SEND_BUFFER_BYTES = 32 * 1024 * 1024;

/** Time allowed for a TCP connect, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Bounds of the wait before another connect, in milliseconds. */
export const RECONNECT_MIN_MS = 50;
export const RECONNECT_MAX_MS = 2_000;
