/** Outages of data centres, and where the next one is expected. */
export {NewestStarts} from './newest-starts.js';
export type {RegisteredStart} from './newest-starts.js';
export type {DataCentreCosts} from './outage-forecasts.js';
export {OutageForecasts} from './outage-forecasts.js';
export {mostlyLost} from './mostly-lost.js';
export {OutageTurns} from './outage-turns.js';
export {lastRestarts} from './restarts.js';
export type {Outage, StartedTarget} from './types.js';
