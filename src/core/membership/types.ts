/** Bounds of the silence after which a peer is suspected. */
export interface SuspicionBounds {
  /** Never suspect before, in milliseconds. */
  readonly floorMs: number;
  /** Always suspect after, in milliseconds. */
  readonly ceilingMs: number;
}

/** A target as the subset sees it. */
export interface SubsetTarget {
  readonly vm: string;
  readonly service: string;
}
