/** Bounds of the time without a message after which a peer is suspected. */
export interface SuspicionBounds {
  /** Least time before a peer is suspected, in milliseconds. */
  readonly floorMs: number;
  /** Time after which a peer is always suspected, in milliseconds. */
  readonly ceilingMs: number;
}

/** A target that can be part of a subset. */
export interface SubsetTarget {
  readonly vm: string;
  readonly service: string;
}
