/** Admission control: which requests are admitted, queued or refused. */
export {computeSlots, splitLimit} from './capacity.js';
export type {CapacityQuery} from './capacity.js';
export {RESUME_SHARE} from './consts.js';
export {FairAdmission} from './fair-admission.js';
export {FairQueue} from './fair-queue.js';
export type {FairItem} from './fair-queue.js';
export {
  RETRY_FLOOR,
  RETRY_WINDOW_MS,
  RetryBudget,
  RetryBudgets,
} from './retry-budget.js';
export type {PoolRequest} from './service-pool.js';
export {ServicePool} from './service-pool.js';
export {TicketOutcome, WorkKind} from './types.js';
export type {
  Admission,
  AdmissionQuery,
  AdmissionTicket,
  EntryCapacity,
  ServiceSlots,
} from './types.js';
