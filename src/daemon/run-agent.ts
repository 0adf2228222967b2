/** Creates and starts an agent from its settings. */
import {HttpEngineDriver, HttpServiceDriver} from '../adapters/index.js';
import {findLimit} from '../../platform/headers.js';
import type {OnHeaders} from '../adapters/http-call.js';
import type {TargetDrivers} from '../agent/agent-process.js';
import {AgentProcess} from '../agent/agent-process.js';
import {TargetLimit} from '../agent/target-limit.js';
import {SystemClock, SystemRandom} from '../core/clock/index.js';
import type {DaemonSettings, TargetSettings} from '../core/settings/index.js';
import {TargetKind} from '../core/settings/index.js';
import {Supervisor} from '../core/supervision/index.js';
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

/** Runs the agent role until it is stopped. */
export async function runAgent(
  settings: DaemonSettings,
  startupSignals: StartupSignals,
): Promise<void> {
  const metrics = createMetrics();
  const logger = createDaemonLogger({settings, metrics});
  const clock = new SystemClock();
  const supervisor = new Supervisor({clock, metrics, logger});
  const table = createConnectionTable({settings, clock, metrics, logger});
  const limit = new TargetLimit({clock, metrics, logger});
  const onHeaders: OnHeaders = (headers) => limit.hear(findLimit(headers));
  const agent = new AgentProcess({
    settings,
    clock,
    table,
    supervisor,
    limit,
    random: new SystemRandom(),
    metrics,
    logger,
    store: createStore({baseUrl: settings.platformUrl, metrics}),
    drivers: createDrivers(settings.target!, onHeaders),
    onDrained: () => exitAfterFlush({stop: () => agent.stop(), supervisor}),
  });
  handleSignals({handler: agent, logger, supervisor, startupSignals});
  const peers = await agent.start();
  if (peers.isErr()) exitCannotListen(logger, peers.error.detail);
  try {
    const operators = await startOperatorsServer({
      handler: agent,
      settings,
      ...{clock, logger, supervisor, table},
    });
    printReadyLine({
      vm: settings.vm,
      operatorsPort: operators.port,
      peersPort: peers._unsafeUnwrap(),
    });
  } catch (cause) {
    exitCannotListen(logger, cause);
  }
}

function createDrivers(
  target: TargetSettings,
  onHeaders: OnHeaders,
): TargetDrivers {
  const baseUrl = target.url;
  return target.kind === TargetKind.ENGINE
    ? {engine: new HttpEngineDriver({baseUrl, onHeaders})}
    : {service: new HttpServiceDriver({baseUrl, onHeaders})};
}
