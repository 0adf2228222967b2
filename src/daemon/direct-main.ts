#!/usr/bin/env node
/** The daemon of an entry on the platform, which calls its targets directly. */
import {createServer} from 'node:http';

import {BOOT_VARIABLE, Kind, Path} from '../../platform/names.js';
import {loadBootSettings} from '../../platform/boot-settings.js';
import {CallerServer} from '../../platform/caller-server.js';
import {decodeConfig} from '../../platform/config-codec.js';
import {StoreSource} from '../../platform/store-client.js';
import {TargetClient} from '../../platform/target-client.js';
import {decodeTarget} from '../../platform/target-codec.js';
import {SystemClock, SystemRandom} from '../core/clock/index.js';
import {createLogger} from '../core/logs/index.js';
import {Metrics} from '../core/metrics/index.js';
import type {DirectSettings} from '../core/settings/direct-settings.js';
import {DirectProcess} from '../direct/direct-process.js';
import {PlannedStop} from '../direct/planned-stop.js';
import {EXIT_BAD_SETTINGS} from './consts.js';

void main();

async function main(): Promise<void> {
  const path = process.env[BOOT_VARIABLE] ?? '';
  const settings = loadBootSettings(path);
  if (settings.isErr()) {
    process.stderr.write(`${settings.error}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
  await run(settings.value);
}

async function run(settings: DirectSettings): Promise<void> {
  const clock = new SystemClock();
  const logger = createLogger({vm: settings.vm, role: 'direct'});
  const url = settings.storeUrl;
  const entry = new DirectProcess({
    settings,
    clock,
    random: new SystemRandom(),
    configs: new StoreSource({url, kind: Kind.CONFIG, decode: decodeConfig}),
    registrations: new StoreSource({
      url,
      kind: Kind.TARGETS,
      decode: decodeTarget,
    }),
    client: new TargetClient(),
    metrics: new Metrics(),
    logger,
  });
  const server = new CallerServer({
    clock,
    handler: {
      handle: (req, res) => entry.handle(req, res),
      isLeaving: () => entry.leaving.get(),
    },
  });
  entry.routes.subscribe((table) => {
    if (table !== undefined) server.applyLimits(table.limits);
  });
  entry.start();
  await serveReadiness(settings, entry);
  await server.listen(settings.callers);
  logger.info('started');
  process.on('SIGHUP', () => logger.info('reload'));
  const stop = new PlannedStop({
    clock,
    logger,
    listener: server,
    graceMs: settings.stopGraceMs,
    onStopped: () => process.exit(0),
  });
  process.on('SIGTERM', () => {
    logger.info('stopping', {open: server.openRequests});
    entry.leave();
    stop.begin();
  });
}

function serveReadiness(
  settings: DirectSettings,
  entry: DirectProcess,
): Promise<void> {
  const server = createServer((req, res) => {
    const isKnown = req.url === (Path.READY as string);
    res.statusCode = isKnown ? (entry.isReady() ? 200 : 503) : 404;
    res.end();
  });
  return new Promise((resolve) => {
    server.listen(settings.readiness, () => resolve());
  });
}
