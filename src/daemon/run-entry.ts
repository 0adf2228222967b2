/** Creates and starts an entry from its settings. */
import {createCallersApp} from '../adapters/http-callers.js';
import type {HttpListener} from '../adapters/http-server.js';
import {listenHttp} from '../adapters/http-server.js';
import {HttpVmList} from '../adapters/index.js';
import {SystemClock, SystemRandom} from '../core/clock/index.js';
import type {DaemonSettings} from '../core/settings/index.js';
import {Supervisor} from '../core/supervision/index.js';
import {EntryProcess} from '../entry/entry-process.js';
import {createConnectionTable} from './create-connection-table.js';
import {createDaemonLogger} from './create-daemon-logger.js';
import {createMetrics} from './create-metrics.js';
import {createStore} from './create-store.js';
import {
  printReadyLine,
  exitCannotListen,
  exitAfterFlush,
  handleSignals,
  startOperatorsServer,
} from './process-lifecycle.js';
import type {StartupSignals} from './startup-signals.js';

/** Runs the entry role until it is stopped. */
export async function runEntry(
  settings: DaemonSettings,
  startupSignals: StartupSignals,
): Promise<void> {
  const metrics = createMetrics();
  const logger = createDaemonLogger({settings, metrics});
  const clock = new SystemClock();
  const supervisor = new Supervisor({clock, metrics, logger});
  const table = createConnectionTable({settings, clock, metrics, logger});
  const baseUrl = settings.platformUrl;
  let callers: HttpListener | undefined;
  const entry = new EntryProcess({
    settings,
    clock,
    table,
    supervisor,
    random: new SystemRandom(),
    metrics,
    logger,
    store: createStore({baseUrl, metrics}),
    vmList: new HttpVmList({baseUrl}),
    countPendingResponses: () => callers?.countOpen() ?? 0,
    onDrained: () =>
      exitAfterFlush({stop: () => entry.stop(), supervisor, callers}),
  });
  handleSignals({handler: entry, logger, supervisor, startupSignals});
  const peers = await entry.start();
  if (peers.isErr()) exitCannotListen(logger, peers.error.detail);
  try {
    const handler = entry.callerHandler;
    const app = createCallersApp({handler, supervisor});
    const edges = {clock, logger, supervisor, table};
    callers = await listenHttp({
      app,
      ...settings.callers!,
      ...edges,
      counter: handler,
      keepsAlive: () => entry.isReady(),
    });
    // Callers are sent here once it is ready, so it comes after their server.
    const operators = await startOperatorsServer({
      handler: entry,
      settings,
      ...edges,
    });
    printReadyLine({
      vm: settings.vm,
      operatorsPort: operators.port,
      callersPort: callers.port,
      peersPort: peers._unsafeUnwrap(),
    });
  } catch (cause) {
    exitCannotListen(logger, cause);
  }
}
