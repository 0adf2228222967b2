/** Messages, frames and connections between the processes of the system. */
export * from './consts.js';
export * from './frame-codec.js';
export * from './listen-when-free.js';
export * from './message-router.js';
export * from './message-type.js';
export * from './messages.js';
export * from './types.js';
export * from './permit-messages.js';
export * from './peer-client.js';
export * from './peer-connection.js';
export * from './peer-server.js';
export * from './refused-message.js';
export * from './watch-messages.js';
