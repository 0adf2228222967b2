/** Which requests are let in, wait or are refused. */
export {AccountLimit} from './account-limit.js';
export type {Admission, AdmissionQuery, AdmissionTicket} from './types.js';
