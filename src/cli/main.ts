#!/usr/bin/env node
/** The command-line tool `plantainrill`. */
import {userInfo} from 'node:os';
import {text} from 'node:stream/consumers';

import {parseBootSettings} from '../../platform/boot-settings.js';
import {parseConfig} from '../../platform/config-codec.js';
import {SystemClock, SystemRandom} from '../core/clock/index.js';
import {createStore} from './create-store.js';
import {runCli} from './run-cli.js';

const status = await runCli({
  args: process.argv.slice(2),
  ctx: {
    out: (line) => process.stdout.write(line),
    err: (line) => process.stderr.write(line),
    createStore,
    platform: {parseSettings: parseBootSettings, parseConfig},
    clock: new SystemClock(),
    random: new SystemRandom(),
    env: process.env,
    readInput: () => text(process.stdin),
    operator: userInfo().username,
  },
});

// Idle connections of the HTTP client would otherwise keep the process alive.
process.stdout.write('', () => process.exit(status));
