/** A version of the configuration as one process hears it of another. */
export interface ConfigUpdate {
  readonly version: number;
  /** The stored value; null where only the version is told. */
  readonly value: unknown;
}

/** What to do about a version that a peer tells. */
export enum ExchangeStep {
  /** It is newer and whole: hold it. */
  TAKE = 'take',
  /** It is newer and was only named: tell the peer one's own version. */
  ASK = 'ask',
  /** It is older: send the peer the whole of one's own. */
  SEND = 'send',
  /** Both hold the same. */
  AGREE = 'agree',
}

/** An entry as the election sees it. */
export interface ConfigMember {
  readonly vm: string;
  readonly dataCentre: string;
}
