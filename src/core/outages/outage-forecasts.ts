/** Costs of data centres in which the next outage is expected. */
import type {Clock} from '../clock/index.js';
import {FORECAST_CACHE_MS, NEXT_OUTAGE_COST} from './consts.js';
import {OutageTurns} from './outage-turns.js';
import {lastRestarts} from './restarts.js';
import type {StartedTarget} from './types.js';

/** Cost of the engines of each data centre, in running requests. */
export type DataCentreCosts = ReadonlyMap<string, number>;

/** What is known of the outages of one service. */
interface Forecast {
  readonly turns: OutageTurns;
  readonly madeMs: number;
  readonly costs: DataCentreCosts;
}

/**
 * Keeps the outages of each service and what its engines cost for the risk of the
 * next one. The cost is that of a few requests: it decides between engines that
 * are about as busy, and keeps none from being used.
 *
 * @example
 * const forecasts = new OutageForecasts({clock});
 * forecasts.costsOf('drafts', () => targets.ofService('drafts')).get('a');
 */
export class OutageForecasts {
  private readonly forecasts = new Map<string, Forecast>();

  constructor(private readonly options: {clock: Clock}) {}

  /** Costs by data centre; empty unless outages come by turns. */
  costsOf(
    service: string,
    targets: () => readonly StartedTarget[],
  ): DataCentreCosts {
    const nowMs = this.options.clock.now();
    const last = this.forecasts.get(service);
    if (last !== undefined && nowMs - last.madeMs < FORECAST_CACHE_MS)
      return last.costs;
    const turns = last?.turns ?? new OutageTurns(this.options);
    const all = targets();
    turns.record(lastRestarts(all));
    const dataCentres = [...new Set(all.map(({dataCentre}) => dataCentre))];
    const costs = new Map(
      [...turns.riskOf(dataCentres)].map(
        ([dataCentre, risk]) => [dataCentre, risk * NEXT_OUTAGE_COST] as const,
      ),
    );
    this.forecasts.set(service, {turns, madeMs: nowMs, costs});
    return costs;
  }
}
