/** Types of the messages between the processes of the system. */

/** Value of the `type` field of a message, which selects its Codec. */
export enum MessageType {
  HELLO = 'hello',
  HEARTBEAT = 'heartbeat',
  START = 'start',
  ATTACH = 'attach',
  LINEAGE = 'lineage',
  DETACH = 'detach',
  CANCEL = 'cancel',
  TOKENS = 'tokens',
  END = 'end',
  FAILED = 'failed',
  REFUSED = 'refused',
  CALL = 'call',
  REPLY = 'reply',
  ASK_KEY = 'ask_key',
  KEY_STATE = 'key_state',
  LEAVE = 'leave',
  CONFIG = 'config',
  CONFIG_REPORT = 'config_report',
  WATCH = 'watch',
  CHANGES = 'changes',
  ALIVE = 'alive',
  ASK_PERMIT = 'ask_permit',
  PERMIT = 'permit',
}
