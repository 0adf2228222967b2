import type {ConfigUpdate} from './types.js';
import {ExchangeStep} from './types.js';

/**
 * Holds the highest version that a process has received. It never returns to
 * an older version, whatever the order in which versions arrive.
 *
 * @example
 * const holder = new ConfigHolder();
 * holder.offer({version: 4, value}); // true
 * holder.offer({version: 3, value}); // false
 */
export class ConfigHolder {
  private current: ConfigUpdate = {version: 0, value: null};

  get version(): number {
    return this.current.version;
  }

  get latest(): ConfigUpdate {
    return this.current;
  }

  /** Stores an update that is newer and has a value; returns whether it did. */
  offer(update: ConfigUpdate): boolean {
    if (this.resolveStep(update) !== ExchangeStep.TAKE) return false;
    this.current = update;
    return true;
  }

  /**
   * Returns the next step after an update from a peer. Two processes that
   * follow these steps hold the same version after at most three messages;
   * no sequence of steps repeats without end.
   */
  resolveStep({version, value}: ConfigUpdate): ExchangeStep {
    if (version < this.version) return ExchangeStep.SEND;
    if (version === this.version) return ExchangeStep.AGREE;
    return value === null ? ExchangeStep.ASK : ExchangeStep.TAKE;
  }
}
