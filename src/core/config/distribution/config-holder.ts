import type {ConfigUpdate} from './types.js';
import {ExchangeStep} from './types.js';

/**
 * The highest version that a process has met. It never goes back, whatever
 * order versions come in.
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

  /** Holds what is newer and whole; returns whether it was. */
  offer(update: ConfigUpdate): boolean {
    if (this.resolveStep(update) !== ExchangeStep.TAKE) return false;
    this.current = update;
    return true;
  }

  /**
   * What to do about a peer's word. Two processes that follow it hold the
   * same version after at most three messages, and no step makes a loop.
   */
  resolveStep({version, value}: ConfigUpdate): ExchangeStep {
    if (version < this.version) return ExchangeStep.SEND;
    if (version === this.version) return ExchangeStep.AGREE;
    return value === null ? ExchangeStep.ASK : ExchangeStep.TAKE;
  }
}
