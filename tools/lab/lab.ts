/** Starts stand-ins and daemons as child processes and ends them all. */
import {fileURLToPath} from 'node:url';

import {request} from 'undici';

import {EXAMPLES} from './paths.js';
import type {ProcLimits, ReadyFields} from './proc.js';
import {Proc} from './proc.js';

const ADDRESS = '127.0.0.1';

/** A running stand-in. */
export interface StandIn {
  readonly proc: Proc;
  readonly url: string;
  readonly port: number;
  /** 0 if the stand-in has no control port; only the relay has one. */
  readonly controlPort: number;
}

/** A running daemon. */
export interface Daemon {
  readonly vm: string;
  readonly proc: Proc;
  /** Base URL for operators. */
  readonly operatorsUrl: string;
  /** Base URL for callers; empty for an agent. */
  readonly callersUrl: string;
  /** 0 if the role accepts no peer connections. */
  readonly peersPort: number;
}

/**
 * Flags of a stand-in or settings of a daemon, by name. A flag with the value
 * `true` is passed without a value.
 */
export interface NamedValues {
  readonly [name: string]: string | number | boolean;
}

/**
 * Owns child processes; must be closed after use.
 *
 * @example
 * const ledger = await harness.startStandIn({name: 'ledger'});
 */
export class ProcessHarness {
  private readonly procs: Proc[] = [];
  private closed = false;

  /** Starts a stand-in by the name of its folder in `stand-ins/`. */
  async startStandIn(options: {
    name: string;
    flags?: NamedValues;
  }): Promise<StandIn> {
    const {name, flags = {}} = options;
    const args = Object.entries(flags).flatMap(([flag, value]) =>
      value === true ? [`--${flag}`] : [`--${flag}`, String(value)],
    );
    const script = `stand-ins/${name}/main.js`;
    const {proc, ready} = await this.start(script, ['--port', '0', ...args]);
    const port = ready.port ?? 0;
    const controlPort = ready.controlPort ?? 0;
    return {proc, port, controlPort, url: `http://${ADDRESS}:${port}`};
  }

  /** Starts a daemon; `settings` override those of the quickstart. */
  async startDaemon(options: {
    role: 'entry' | 'agent';
    settings: NamedValues;
    limits?: ProcLimits;
  }): Promise<Daemon> {
    const {role, settings, limits} = options;
    const overrides: NamedValues = {
      'peers.port': 0,
      'operators.port': 0,
      ...(role === 'entry' ? {'callers.port': 0} : {}),
      ...settings,
    };
    const path = `quickstart/processes/${role}.yaml`;
    const settingsFile = fileURLToPath(new URL(path, EXAMPLES));
    const args = Object.entries(overrides).flatMap(([name, value]) => [
      '--set',
      `${name}=${value}`,
    ]);
    const script = 'src/daemon/main.js';
    const argv = ['--settings', settingsFile, ...args];
    const {proc, ready} = await this.start(script, argv, limits);
    return createDaemon(String(settings['vm']), proc, ready);
  }

  /** Kills all processes and waits until they have exited. */
  async close(): Promise<void> {
    this.closed = true;
    for (const proc of this.procs) {
      proc.kill();
    }
    await Promise.all(this.procs.map((proc) => proc.exited));
  }

  private async start(
    script: string,
    args: readonly string[],
    limits?: ProcLimits,
  ) {
    // If one of several concurrent starts fails, the harness is closed while
    // the others continue; a process started after that would never be killed.
    if (this.closed) throw new Error('the process harness is closed');
    const proc = Proc.start({script, args, limits});
    this.procs.push(proc);
    const ready = await proc.ready.catch((cause: unknown) => {
      throw new Error(`${String(cause)}: ${proc.stderr}`);
    });
    return {proc, ready};
  }
}

/**
 * Sends JSON to a control endpoint and returns the JSON of the response;
 * undefined if the response is empty. The status is not checked.
 *
 * @example
 * await sendControl({url: `${ledger.url}/counts`});
 */
export async function sendControl(options: {
  url: string;
  method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
  body?: unknown;
}): Promise<unknown> {
  const {url, method = 'GET', body} = options;
  const res = await request(url, {
    method,
    headers: {'content-type': 'application/json'},
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  const text = await res.body.text();
  return text === '' ? undefined : (JSON.parse(text) as unknown);
}

/**
 * Cuts, restores (`mend`) or resets the connections of a relay.
 *
 * @example
 * await controlRelay(relay, 'cut');
 */
export async function controlRelay(
  relay: StandIn,
  action: 'cut' | 'mend' | 'reset',
): Promise<void> {
  const url = `http://${ADDRESS}:${relay.controlPort}/${action}`;
  await sendControl({url, method: 'POST', body: {}});
}

/**
 * Polls until `check` resolves to true; rejects after `timeoutMs`. A check that
 * rejects counts as false.
 *
 * @example
 * await waitUntil({what: 'the entry is ready', check: () => isReady(entry)});
 */
export async function waitUntil(options: {
  /** The expected condition, for the error message. */
  what: string;
  check: () => Promise<boolean>;
  timeoutMs?: number;
}): Promise<void> {
  const {what, check, timeoutMs = 20_000} = options;
  const endMs = performance.now() + timeoutMs;
  while (!(await check().catch(() => false))) {
    if (performance.now() > endMs)
      throw new Error(`timed out waiting until ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

function createDaemon(vm: string, proc: Proc, ready: ReadyFields): Daemon {
  const {operatorsPort, callersPort, peersPort} = ready;
  return {
    vm,
    proc,
    operatorsUrl: `http://${ADDRESS}:${operatorsPort}`,
    callersUrl: callersPort === undefined ? '' : urlOf(callersPort),
    peersPort: peersPort ?? 0,
  };
}

function urlOf(port: number): string {
  return `http://${ADDRESS}:${port}`;
}
