/** Handles signals during startup; must be imported before other modules. */
import {handleStartupSignals} from './startup-signals.js';

/** Removes the handlers; call it once the process handles signals itself. */
export const removeStartupHandlers = handleStartupSignals(process);
