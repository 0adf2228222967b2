/** Decides whether an entry may be given connections. */
import type {Clock} from '../core/clock/index.js';
import {STARTUP_WAIT_MS} from './consts.js';
import {Need} from './readiness-log.js';

/** What an entry has loaded so far. */
export interface LoadedState {
  readonly hasConfig: boolean;
  readonly hasTargets: boolean;
  /** Whether the orders of new versions are loaded. */
  readonly hasOrders: boolean;
  /** Whether earlier losses are loaded. */
  readonly hasLosses: boolean;
  readonly areKeysTrusted: boolean;
}

/**
 * Tells what an entry still needs to become ready. The waits for orders and for
 * losses are bounded, so that an unavailable store does not keep it unready.
 *
 * @example
 * const readiness = new Readiness({clock, loaded: () => state});
 * readiness.start();
 * readiness.missing(); // [Need.CONFIGURATION]
 */
export class Readiness {
  private startedMs = 0;

  constructor(
    private readonly options: {clock: Clock; loaded: () => LoadedState},
  ) {}

  /** Begins the bounded waits. */
  start(): void {
    this.startedMs = this.options.clock.now();
  }

  missing(): Need[] {
    const loaded = this.options.loaded();
    const {isStartOver} = this;
    const needs: Need[] = [];
    if (!loaded.hasConfig) needs.push(Need.CONFIGURATION);
    if (!loaded.hasTargets) needs.push(Need.TARGETS);
    if (!loaded.hasOrders && !isStartOver) needs.push(Need.ROLLOUTS);
    if (!loaded.hasLosses && !isStartOver) needs.push(Need.LOSSES);
    if (!loaded.areKeysTrusted) needs.push(Need.KEY_CONFIRMATION);
    return needs;
  }

  private get isStartOver(): boolean {
    return this.options.clock.now() - this.startedMs > STARTUP_WAIT_MS;
  }
}
