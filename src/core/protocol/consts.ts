/** Version of the protocol; both sides must use the same one. */
export const PROTOCOL_VERSION = 1;

/** Size of the big-endian length prefix of a frame, in bytes. */
export const LENGTH_BYTES = 4;

/**
 * Maximum size of a frame body, in bytes; large enough for a request together
 * with the output generated so far.
 */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;

/**
 * Bytes of an incomplete frame that show that its sender is alive. A sender that
 * stalls and sends a byte now and then does not reach them.
 */
export const FRAME_PROGRESS_BYTES = 16 * 1024;

/** Time within which a connection must send HELLO, in milliseconds. */
export const HELLO_TIMEOUT_MS = 2_000;

/**
 * Maximum size of the send buffer of a connection, in bytes. Beyond it, the peer
 * reads too slowly and the connection is closed.
 */
export const MAX_SEND_BUFFER_BYTES = 32 * 1024 * 1024;

/** Time allowed for a TCP connect, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Bounds of the delay before a reconnect, in milliseconds. */
export const RECONNECT_MIN_MS = 50;
export const RECONNECT_MAX_MS = 2_000;

/** Most bytes of a paced connection that are handled in one turn. */
export const SLICE_BYTES = 1024;

/** Slices of a paced connection that are handled while answers are unread. */
export const UNREAD_SLICES = 16;
