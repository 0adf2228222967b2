/** Guards the start of this process; to be imported before anything else. */
import {guardStart} from './start-guard.js';

/** Lifts the guard once the process handles signals itself. */
export const liftStartGuard = guardStart(process);
