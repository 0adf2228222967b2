/** Shapes shared by every layer's errors. */

/** One entry of the catalogue, as a person reads it. */
export interface ErrorData {
  /** Stable identifier, used in logs, counters and documentation. */
  readonly name: string;
  /** A short headline. */
  readonly title: string;
  /** What happened. */
  readonly message: string;
  /** What the reader can do about it. */
  readonly hint: string;
}

/** The layers, from the edges inwards. */
export enum Layer {
  STORE = 'store',
  VM_LIST = 'vmList',
  DRIVER = 'driver',
  TRANSPORT = 'transport',
  SETTINGS = 'settings',
  CONFIG = 'config',
  BOOKING = 'booking',
  GENERATION = 'generation',
  CLI = 'cli',
}

/**
 * An error value of one layer. A layer that meets an error from below wraps
 * it in its own kind and keeps the lower one as `cause`.
 */
export interface LayerError<L extends Layer, K extends string> {
  readonly layer: L;
  readonly kind: K;
  readonly detail: string;
  readonly cause?: LayerError<Layer, string>;
}
