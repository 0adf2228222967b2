/** State of a process, as shown to operators. */
export interface ProcessStatus {
  readonly vm: string;
  readonly role: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** Version of the active configuration; 0 for none. */
  readonly configVersion: number;
  /**
   * Milliseconds since the platform last confirmed that version to this
   * process or to a peer; the age of the process if it never did.
   */
  readonly configAgeMs: number;
  /** Number of requests in progress. */
  readonly running: number;
  /** Targets to which an entry can send work; empty for an agent. */
  readonly peers: readonly PeerStatus[];
  /** Processes that receive the configuration from this one. */
  readonly subscribers: readonly PeerStatus[];
}

/** Last known state of a peer. */
export interface PeerStatus {
  readonly vm: string;
  readonly dataCentre: string;
  /** `usable`, `unusable` or `leaving` for a target; else `subscriber`. */
  readonly state: string;
  readonly configVersion: number;
}

/** Serves operators and probes; an adapter implements their protocol. */
export interface OperatorHandler {
  status(): ProcessStatus;
  isReady(): boolean;
  metrics(): Promise<string>;
  /** Starts a graceful shutdown; does nothing if one is in progress. */
  drain(): void;
}
