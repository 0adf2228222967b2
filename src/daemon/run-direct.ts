/** Creates and starts a direct entry from the settings file. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';

import {Command, InvalidArgumentError} from 'commander';

import {
  loadBootSettings,
  parseBootSettings,
} from '../../platform/boot-settings.js';
import {CallerServer} from '../../platform/caller-server.js';
import {SETTINGS_PATH_VARIABLE, Path} from '../../platform/names.js';
import {createPlatformEdges} from '../../platform/platform-edges.js';
import {listenWhenFree} from '../adapters/listen-when-free.js';
import {MemoryBudget} from '../core/bytes/index.js';
import {SystemClock, SystemRandom} from '../core/clock/index.js';
import {BoundedSink, createLogger} from '../core/logs/index.js';
import {CounterName, Metrics} from '../core/metrics/index.js';
import {Supervisor, TaskName} from '../core/supervision/index.js';
import type {RouteTable} from '../core/routes/index.js';
import type {DirectSettings} from '../core/settings/direct-settings.js';
import {messageMemoryBytes} from '../core/settings/direct-settings.js';
import {DirectProcess} from '../direct/direct-process.js';
import {ChangeRelay} from '../direct/relay/index.js';
import {GracefulShutdown} from '../direct/graceful-shutdown.js';
import {SettingsWatcher} from '../direct/settings-watcher.js';
import {EXIT_BAD_SETTINGS} from './consts.js';
import {readWithRetry} from './read-with-retry.js';
import type {StartupSignals} from './startup-signals.js';

const STDOUT = 1;
const MAX_PORT = 65_535;

/** Default port of the metrics. */
const DEFAULT_METRICS_PORT = 9_464;

/** Time to write the last log lines before the exit, in milliseconds. */
const LOG_FLUSH_MS = 20;

const METRICS_PATH = '/metrics';

interface Flags {
  readonly metricsPort: number;
}

const program = new Command('plantainrill-direct')
  .description('Runs an entry that calls its targets directly.')
  .option(
    '--metrics-port <port>',
    'port on which metrics are served',
    parsePort,
    DEFAULT_METRICS_PORT,
  )
  .addHelpText(
    'after',
    `
The settings file is named by ${SETTINGS_PATH_VARIABLE}.
Signals: SIGTERM and SIGINT begin a planned stop, SIGHUP reads the settings
anew.
Exit statuses: 0 stopped as planned, 2 bad settings.`,
  );

/**
 * Runs a direct entry until it is stopped.
 *
 * @example
 * await runDirect(new StartupSignals(process));
 */
export async function runDirect(startupSignals: StartupSignals): Promise<void> {
  const flags = program.parse().opts<Flags>();
  const path = process.env[SETTINGS_PATH_VARIABLE] ?? '';
  const settings = await readWithRetry({
    read: () => loadBootSettings(path),
    clock: new SystemClock(),
  });
  if (settings.isErr()) {
    process.stderr.write(`${settings.error}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
  await startEntry({
    path,
    settings: settings.value,
    metricsPort: flags.metricsPort,
    startupSignals,
  });
}

async function startEntry(options: {
  path: string;
  settings: DirectSettings;
  metricsPort: number;
  startupSignals: StartupSignals;
}): Promise<void> {
  const {path, settings, metricsPort, startupSignals} = options;
  const clock = new SystemClock();
  const metrics = new Metrics();
  const sink = new BoundedSink({
    fd: STDOUT,
    clock,
    onDropped: () => metrics.count(CounterName.LOG_LINES_DROPPED),
  });
  const logger = createLogger({vm: settings.vm, role: 'direct', sink});
  const supervisor = new Supervisor({clock, metrics, logger});
  const random = new SystemRandom();
  const relay = new ChangeRelay({
    ...settings,
    port: settings.peerPort,
    limits: settings,
    clock,
    random,
    metrics,
    logger,
    supervisor,
  });
  const edges = createPlatformEdges({
    url: settings.storeUrl,
    metrics,
    supervisor,
    relay: (kind) => relay.relayed(kind),
  });
  const memory = new MemoryBudget({limitBytes: messageMemoryBytes(settings)});
  const entry = new DirectProcess({
    ...edges,
    memory,
    permitPeers: relay,
    settings,
    clock,
    random,
    metrics,
    logger,
    supervisor,
  });
  const server = new CallerServer({
    clock,
    logger,
    memory,
    supervisor,
    handler: {
      refuseEarly: (req) => entry.refuseEarly(req),
      recordRefusal: (req, refusal) => entry.recordRefusal(req, refusal),
      handle: (req, res) => entry.handle(req, res),
      isDraining: () => entry.draining.get(),
    },
  });
  const applyLimits = (table?: RouteTable) => {
    if (table !== undefined) server.applyLimits(table.limits);
  };
  const configTask = {name: TaskName.CONFIG};
  entry.routes.subscribe(supervisor.guard(configTask, applyLimits));
  const watcher = new SettingsWatcher({
    path,
    parse: parseBootSettings,
    onSettings: (newSettings) => entry.applySettings(newSettings),
    clock,
    logger,
    supervisor,
  });
  const shutdown = new GracefulShutdown({
    clock,
    logger,
    supervisor,
    listener: server,
    graceMs: settings.shutdownGraceMs,
    answerOpen: () => entry.answerOpenCalls(),
    // The last log lines are written asynchronously.
    onStopped: () => setTimeout(() => process.exit(0), LOG_FLUSH_MS),
  });
  const reload = () => {
    logger.info('reload');
    return watcher.check();
  };
  process.on('SIGHUP', supervisor.guard({name: TaskName.SETTINGS}, reload));
  const shutdownTask = {name: TaskName.SHUTDOWN};
  const stop = supervisor.guard(shutdownTask, () => {
    shutdown.begin();
    entry.startDraining();
    supervisor.run(shutdownTask, () => relay.leave());
    logger.info('stopping', {open: server.openRequests});
  });
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  startupSignals.remove();
  entry.start();
  await relay.start({
    writer: edges.entryWriter,
    source: edges.entrySource,
  });
  await server.listen(settings.callers);
  // Callers are sent here once it responds, so it comes after their server.
  await listenWhenFree({
    server: createGuardedServer(supervisor, (req, res) =>
      serveReadiness({req, res, entry}),
    ),
    address: settings.readiness,
    clock,
    logger,
  });
  const metricsServer = createGuardedServer(supervisor, (req, res) =>
    serveMetrics({req, res, metrics}),
  );
  const metricsAddress = {host: settings.address, port: metricsPort};
  supervisor.run({name: TaskName.METRICS}, () =>
    listenWhenFree({
      server: metricsServer,
      address: metricsAddress,
      clock,
      logger,
    }).catch((e: unknown) =>
      logger.error('metrics are not served', {detail: String(e)}),
    ),
  );
  logger.info('started', {
    callers: settings.callers.port,
    metricsPort,
    afterMs: Math.round(clock.now()),
    reloads: startupSignals.reloads,
  });
  await watcher.check();
  watcher.start();
}

/** Creates a server whose handler ends only its connection if it fails. */
function createGuardedServer(
  supervisor: Supervisor,
  handler: (req: IncomingMessage, res: ServerResponse) => unknown,
): Server {
  return createServer((req, res) => {
    const task = {name: TaskName.METRICS, onFailure: () => res.destroy()};
    supervisor.run(task, () => handler(req, res));
  });
}

function serveReadiness(options: {
  req: IncomingMessage;
  res: ServerResponse;
  entry: DirectProcess;
}): void {
  const {req, res, entry} = options;
  const isReadinessPath = req.url === (Path.READY as string);
  res.statusCode = isReadinessPath ? (entry.isReady() ? 200 : 503) : 404;
  res.end();
}

async function serveMetrics(options: {
  req: IncomingMessage;
  res: ServerResponse;
  metrics: Metrics;
}): Promise<void> {
  const {req, res, metrics} = options;
  if (req.url !== METRICS_PATH) {
    res.writeHead(404).end();
    return;
  }
  res.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'});
  res.end(await metrics.render());
}

function parsePort(text: string): number {
  const port = Number(text);
  const isValid = Number.isInteger(port) && port > 0 && port <= MAX_PORT;
  if (!isValid) throw new InvalidArgumentError(`expected 1 to ${MAX_PORT}`);
  return port;
}
