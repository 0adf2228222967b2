#!/usr/bin/env node
/** The daemon `plantainrilld`: runs an entry or an agent, per its settings. */
import {exitOnFailure} from './exit-on-failure.js';
import {StartupSignals} from './startup-signals.js';

// Signals may arrive while the rest is loaded, which takes longer than all else.
const startupSignals = new StartupSignals(process);

import('./run-daemon.js')
  .then(({runDaemon}) => runDaemon(startupSignals))
  .catch(exitOnFailure);
