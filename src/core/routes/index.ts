/** Routes, services and keys of a configuration. */
export {pickService, RouteTable} from './route-table.js';
export type {
  AccountKeys,
  CallerLimits,
  EngineProfile,
  Route,
  RoutedService,
  RouteShare,
  RoutingConfig,
} from './types.js';
export {OperationKind} from './types.js';
export type {RoutingProblem} from './check-routing.js';
export {findRoutingProblems, RoutingProblemKind} from './check-routing.js';
export type {AdmissionInput, AdmittedRequest} from './admit-request.js';
export {admitRequest} from './admit-request.js';
