/** A version of the configuration that one process sends to another. */
export interface ConfigUpdate {
  readonly version: number;
  /** The stored value; null if only the version is sent. */
  readonly value: unknown;
}

/** Next step after receiving a version from a peer. */
export enum ExchangeStep {
  /** The peer's version is newer and has a value: store it. */
  TAKE = 'take',
  /**
   * The peer's version is newer but has no value: report the local version, to
   * which the peer responds with the value.
   */
  ASK = 'ask',
  /** The peer's version is older: send the local version with its value. */
  SEND = 'send',
  /** Both have the same version. */
  AGREE = 'agree',
}

/** An entry that takes part in the election of watchers. */
export interface ConfigMember {
  readonly vm: string;
  readonly dataCentre: string;
}
