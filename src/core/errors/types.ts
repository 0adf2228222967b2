/** Types shared by the errors of all layers. */

/** One entry of the error catalogue. */
export interface ErrorData {
  /** Stable identifier, used in logs, counters and documentation. */
  readonly name: string;
  /** Short summary. */
  readonly title: string;
  /** What happened. */
  readonly message: string;
  /** How to correct it. */
  readonly hint: string;
}

/** The layers that report errors, from external systems inwards. */
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
 * An error value of one layer. A layer that receives an error of a lower layer
 * wraps it in an error of its own kind and keeps the lower one as `cause`.
 */
export interface LayerError<L extends Layer, K extends string> {
  readonly layer: L;
  readonly kind: K;
  /** What happened, in words. */
  readonly detail: string;
  readonly cause?: LayerError<Layer, string>;
}
