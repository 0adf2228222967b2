/** Work that nobody waits for; the label of its counter. */
export enum TaskName {
  ALERTS = 'alerts',
  BOOKING = 'booking',
  CALL = 'call',
  CONFIG = 'config',
  ENTRIES = 'entries',
  GENERATION = 'generation',
  HEALTH_CHECK = 'health_check',
  KV_COPY = 'kv_copy',
  LIMIT = 'limit',
  LOSSES = 'losses',
  MEMORY = 'memory',
  METRICS = 'metrics',
  OUTCOME = 'outcome',
  PEERS = 'peers',
  POISON = 'poison',
  QUARANTINE = 'quarantine',
  READINESS = 'readiness',
  REQUEST = 'request',
  ROOM = 'room',
  ROLLOUT = 'rollout',
  SETTINGS = 'settings',
  SHUTDOWN = 'shutdown',
  STORE_FOLLOWER = 'store_follower',
  STREAM = 'stream',
  TARGETS = 'targets',
  VM_LIST = 'vm_list',
}

/** Work that is run on behalf of nobody who could handle its failure. */
export interface Task {
  readonly name: TaskName;
  /** Id of the request that it belongs to, if any. */
  readonly requestId?: string;
  /**
   * Called after a failure, such as to answer the request; it may fail too.
   */
  readonly onFailure?: () => unknown;
}
