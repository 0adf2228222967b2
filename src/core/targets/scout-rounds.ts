/** Lets few of many paused targets of a data centre show whether it is back. */
import type {Clock} from '../clock/index.js';

/** Paused targets of a data centre up to which each is probed by itself. */
export const MAX_PROBED_ALONE = 6;

/** Targets that are probed for the others in a round. */
const SCOUTS = 2;

/** Time in which targets that are due belong to one round, in milliseconds. */
const ROUND_MS = 300;

/** The probes of one round; each outcome is whether the target responds. */
interface Round {
  readonly startedMs: number;
  readonly outcomes: Promise<boolean>[];
}

/**
 * Groups the probes of paused targets by data centre and service. The targets of
 * a data centre are lost and come back together, so the first ones that are due
 * are probed, and the others only once one of these responds.
 *
 * @example
 * const rounds = new ScoutRounds({clock});
 * await rounds.probeAfterScouts({key: 'a drafts', probe});
 */
export class ScoutRounds {
  private readonly rounds = new Map<string, Round>();

  constructor(private readonly options: {clock: Clock}) {}

  /**
   * Whether a target responds to `probe`; undefined if it was not called, as
   * others of its round were probed in vain. `probe` must not reject.
   */
  async probeAfterScouts(options: {
    key: string;
    probe: () => Promise<boolean>;
  }): Promise<boolean | undefined> {
    const {key, probe} = options;
    const {outcomes} = this.roundOf(key);
    if (outcomes.length < SCOUTS) {
      const outcome = probe();
      outcomes.push(outcome);
      return outcome;
    }
    const responses = await Promise.all(outcomes);
    return responses.includes(true) ? probe() : undefined;
  }

  private roundOf(key: string): Round {
    const nowMs = this.options.clock.now();
    const current = this.rounds.get(key);
    if (current !== undefined && nowMs - current.startedMs < ROUND_MS)
      return current;
    const round = {startedMs: nowMs, outcomes: []};
    this.rounds.set(key, round);
    return round;
  }
}
