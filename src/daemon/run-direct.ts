/** Creates and starts a direct entry from the settings file. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createServer} from 'node:http';
import {setImmediate} from 'node:timers/promises';

import {Command, InvalidArgumentError} from 'commander';

import type {BootSettings} from '../../platform/boot-settings.js';
import {
  loadBootSettings,
  parseBootSettings,
} from '../../platform/boot-settings.js';
import {CallerServer} from '../../platform/caller-server.js';
import {SETTINGS_PATH_VARIABLE, Path} from '../../platform/names.js';
import {createPlatformEdges} from '../../platform/platform-edges.js';
import {
  CannotListenError,
  listenWhenFree,
} from '../adapters/listen-when-free.js';
import {
  boundServer,
  readDescriptorLimit,
} from '../adapters/bounded-server/index.js';
import {MemoryBudget} from '../core/bytes/index.js';
import type {Clock} from '../core/clock/index.js';
import {SystemClock, SystemRandom} from '../core/clock/index.js';
import {ConnectionTable, deriveLimits} from '../core/connections/index.js';
import {BoundedSink, createLogger} from '../core/logs/index.js';
import {CounterName, Metrics} from '../core/metrics/index.js';
import type {RouteTable} from '../core/routes/index.js';
import {
  garbageBytes,
  messageMemoryBytes,
} from '../core/settings/direct-settings.js';
import {GarbageBound, V8Buffers} from '../adapters/garbage-bound.js';
import {Supervisor, TaskName} from '../core/supervision/index.js';
import {DirectProcess} from '../direct/direct-process.js';
import {ChangeRelay} from '../direct/relay/index.js';
import {GracefulShutdown} from '../direct/graceful-shutdown.js';
import {ReadinessLog} from '../direct/readiness-log.js';
import {SettingsWatcher} from '../direct/settings-watcher.js';
import {EXIT_BAD_SETTINGS} from './consts.js';
import {readWithRetry} from './read-with-retry.js';
import {isRouteRequest, serveRoute} from './serve-route.js';
import type {StartupSignals} from './startup-signals.js';

const STDOUT = 1;

/** Fields of the log lines; the name of the VM is one of the settings. */
const ROLE = 'direct';
const UNKNOWN_VM = 'unknown';

const MAX_PORT = 65_535;

/** Default port of the metrics. */
const DEFAULT_METRICS_PORT = 9_464;

/** Time to write the last log lines before the exit, in milliseconds. */
const LOG_FLUSH_MS = 20;

const METRICS_PATH = '/metrics';

interface Flags {
  readonly metricsPort: number;
  readonly maxConnections?: number;
  readonly unreadTimeoutMs?: number;
}

const program = new Command('plantainrill-direct')
  .description('Runs an entry that calls its targets directly.')
  .option(
    '--metrics-port <port>',
    'port on which metrics are served',
    parsePort,
    DEFAULT_METRICS_PORT,
  )
  .option(
    '--max-connections <number>',
    'open connections at most; derived from the machine by default',
    parseCount,
  )
  .option(
    '--unread-timeout-ms <ms>',
    'time within which a client reads a part of its response',
    parseCount,
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
  // Signals that arrived while the program was loaded are handled first.
  await setImmediate();
  const flags = program.parse().opts<Flags>();
  const path = process.env[SETTINGS_PATH_VARIABLE] ?? '';
  if (path === '')
    exitOnBadSettings(`${SETTINGS_PATH_VARIABLE} names no settings file`);
  const clock = new SystemClock();
  const metrics = new Metrics();
  const sink = new BoundedSink({
    fd: STDOUT,
    clock,
    onDropped: () => metrics.count(CounterName.LOG_LINES_DROPPED),
  });
  const startLogger = createLogger({vm: UNKNOWN_VM, role: ROLE, sink});
  const boot = await readWithRetry({
    read: () => loadBootSettings(path),
    clock,
    onInvalid: (detail) =>
      startLogger.warn('waiting for valid settings', {detail}),
  });
  if (boot.isErr()) exitOnBadSettings(boot.error);
  try {
    await startEntry({
      path,
      boot: boot.value,
      flags,
      startupSignals,
      clock,
      metrics,
      sink,
    });
  } catch (e) {
    if (e instanceof CannotListenError) exitOnBadSettings(e.message);
    throw e;
  }
}

/** Writes one line and exits. */
function exitOnBadSettings(detail: string): never {
  process.stderr.write(`bad settings: ${detail}\n`);
  process.exit(EXIT_BAD_SETTINGS);
}

async function startEntry(options: {
  path: string;
  boot: BootSettings;
  flags: Flags;
  startupSignals: StartupSignals;
  clock: Clock;
  metrics: Metrics;
  sink: BoundedSink;
}): Promise<void> {
  const {path, flags, startupSignals} = options;
  const {metricsPort} = flags;
  const {clock, metrics, sink} = options;
  const {settings, text} = options.boot;
  let active = settings;
  const logger = createLogger({vm: settings.vm, role: ROLE, sink});
  const supervisor = new Supervisor({clock, metrics, logger});
  const random = new SystemRandom();
  const table = new ConnectionTable({
    limits: deriveLimits({
      ...flags,
      memoryBytes: settings.memoryBytes,
      descriptors: Math.min(
        readDescriptorLimit(),
        settings.maxDescriptors ?? Number.POSITIVE_INFINITY,
      ),
    }),
    clock,
    metrics,
    logger,
  });
  const relay = new ChangeRelay({
    ...settings,
    port: settings.peerPort,
    limits: settings,
    connections: table,
    clock,
    random,
    metrics,
    logger,
    supervisor,
  });
  const garbage = new GarbageBound({
    memory: new V8Buffers(),
    allowedBytes: garbageBytes(settings),
    ...{clock, supervisor},
  });
  const memory = new MemoryBudget({
    limitBytes: messageMemoryBytes(settings),
    onLargeRead: (bytes) => garbage.recordRead(bytes),
  });
  const edges = createPlatformEdges({
    url: settings.storeUrl,
    metrics,
    supervisor,
    memory,
    relay: (kind) => relay.relayed(kind),
  });
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
    table,
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
    text,
    parse: parseBootSettings,
    onSettings: (newSettings) => {
      active = newSettings;
      entry.applySettings(newSettings);
    },
    clock,
    logger,
    supervisor,
  });
  const shutdown = new GracefulShutdown({
    clock,
    logger,
    supervisor,
    listener: server,
    get graceMs() {
      return active.shutdownGraceMs;
    },
    answerOpen: () => entry.answerOpenRequests(),
    // The last log lines are written asynchronously.
    onStopped: () => setTimeout(() => process.exit(0), LOG_FLUSH_MS),
  });
  const reload = () => {
    logger.info('reload');
    watcher.check();
  };
  const readinessLog = new ReadinessLog({
    clock,
    logger,
    supervisor,
    missing: () => entry.missing(),
  });
  process.on('SIGHUP', supervisor.guard({name: TaskName.SETTINGS}, reload));
  const shutdownTask = {name: TaskName.SHUTDOWN};
  const stop = supervisor.guard(shutdownTask, () => {
    if (entry.draining.get()) return;
    shutdown.begin();
    readinessLog.stop();
    entry.startDraining();
    supervisor.run(shutdownTask, () => relay.leave());
    logger.info('stopping', {open: server.openRequests});
  });
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  startupSignals.remove();
  watcher.start();
  readinessLog.start();
  entry.start();
  relay.start({
    writer: edges.entryWriter,
    source: edges.entrySource,
  });
  await server.listen(() => active.callers);
  // Callers are sent here once it responds, so it comes after their server.
  await listenWhenFree({
    server: createGuardedServer({supervisor, table, clock}, (req, res) =>
      serveReadiness({req, res, entry}),
    ),
    addressOf: () => active.readiness,
    clock,
    logger,
  });
  const metricsServer = createGuardedServer(
    {supervisor, table, clock},
    (req, res) =>
      isRouteRequest(req)
        ? serveRoute({req, res, entry})
        : serveMetrics({req, res, metrics}),
  );
  supervisor.run({name: TaskName.METRICS}, () =>
    listenWhenFree({
      server: metricsServer,
      addressOf: () => ({host: active.address, port: metricsPort}),
      clock,
      logger,
    }).catch((e: unknown) =>
      logger.error('metrics are not served', {detail: String(e)}),
    ),
  );
  logger.info('started', {
    callers: active.callers.port,
    metricsPort,
    afterMs: Math.round(clock.now()),
    reloads: startupSignals.reloads,
  });
}

/** Creates a server whose handler ends only its connection if it fails. */
function createGuardedServer(
  options: {supervisor: Supervisor; table: ConnectionTable; clock: Clock},
  handler: (req: IncomingMessage, res: ServerResponse) => unknown,
): Server {
  const server = createServer((req, res) => {
    const task = {name: TaskName.METRICS, onFailure: () => res.destroy()};
    options.supervisor.run(task, () => handler(req, res));
  });
  boundServer(server, options);
  return server;
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

function parseCount(text: string): number {
  const count = Number(text);
  const isValid = Number.isSafeInteger(count) && count > 0;
  if (!isValid) throw new InvalidArgumentError('expected a positive integer');
  return count;
}
