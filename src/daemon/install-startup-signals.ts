/** Guards the start of this process; to be imported before anything else. */
import {handleStartupSignals} from './startup-signals.js';

/** Lifts the guard once the process handles signals itself. */
export const removeStartupHandlers = handleStartupSignals(process);
