#!/usr/bin/env node
/** Daemon of an entry on the platform, which calls its targets directly. */
import {exitOnFailure} from './exit-on-failure.js';
import {StartupSignals} from './startup-signals.js';

// Signals may arrive while the rest is loaded, which takes longer than all else.
const startupSignals = new StartupSignals(process);

import('./run-direct.js')
  .then(({runDirect}) => runDirect(startupSignals))
  .catch(exitOnFailure);
