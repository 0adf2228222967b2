/** State of a process as operators see it. */
export interface ProcessStatus {
  readonly vm: string;
  readonly role: string;
  readonly dataCentre: string;
  readonly incarnation: string;
  readonly ready: boolean;
  readonly leaving: boolean;
  /** Version of the configuration in force; 0 for none. */
  readonly configVersion: number;
  /**
   * Milliseconds since the platform last confirmed that version, here or to
   * a peer; the age of the process where it never did.
   */
  readonly configAgeMs: number;
  /** Work in flight. */
  readonly running: number;
  /** What else the role reports. */
  readonly peers: readonly PeerStatus[];
  /** Processes that hear the configuration from this one. */
  readonly subscribers: readonly PeerStatus[];
}

/** What a process knows of a peer. */
export interface PeerStatus {
  readonly vm: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly configVersion: number;
}

/** Serves operators and probes; an adapter speaks their protocol. */
export interface OperatorHandler {
  status(): ProcessStatus;
  isReady(): boolean;
  metrics(): Promise<string>;
  /** Begins a planned stop; does nothing when one has begun. */
  drain(): void;
}
