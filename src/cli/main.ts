#!/usr/bin/env node
/** The command-line tool `plantainrill`. */
import {userInfo} from 'node:os';

import {parseBootSettings} from '../../platform/boot-settings.js';
import {parseConfig} from '../../platform/config-codec.js';
import {SystemClock, SystemRandom} from '../core/clock/index.js';
import {createStore} from './create-store.js';
import {runCli} from './run-cli.js';

const status = await runCli({
  args: process.argv.slice(2),
  ctx: {
    out: (text) => process.stdout.write(text),
    err: (text) => process.stderr.write(text),
    createStore,
    platform: {parseSettings: parseBootSettings, parseConfig},
    clock: new SystemClock(),
    random: new SystemRandom(),
    operator: userInfo().username,
  },
});

// Idle connections of the HTTP client would otherwise keep the process alive.
process.stdout.write('', () => process.exit(status));
