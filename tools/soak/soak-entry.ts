/** An entry of the soak and its consecutive processes. */
import {createWriteStream, writeFileSync} from 'node:fs';
import type {WriteStream} from 'node:fs';
import {join} from 'node:path';

import {request} from 'undici';

import {SETTINGS_PATH_VARIABLE, Path} from '../../platform/names.js';
import {Relay} from '../../stand-ins/relay/relay.js';
import {
  bootFile,
  callersEndpointOf,
  readinessAddressOf,
} from '../../stand-ins/site/boot-file.js';
import {Proc} from '../lab/proc.js';
import {
  GRACE_PERIOD_MS,
  RETRY_RATIO,
  RETRY_SLACK,
  RETRY_WINDOW_MS,
  KEY_REVOCATION_MS,
} from './consts.js';
import type {History} from './history.js';

const MS_PER_S = 1_000;
const READINESS_TIMEOUT_MS = 400;

/** Time from the end of the grace period until SIGKILL, in milliseconds. */
const KILL_MARGIN_MS = 500;

/** Parameters of an entry. */
export interface SoakEntryOptions {
  readonly name: string;
  /** Loopback address on which only this entry listens. */
  readonly address: string;
  readonly zone: string;
  readonly storePort: number;
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly history: History;
}

/**
 * An entry whose process can be stopped and started again.
 *
 * @example
 * const entry = await SoakEntry.start({name: 'entry-1', address, ...});
 */
export class SoakEntry {
  /** Number of process starts so far. */
  lifetime = 0;
  /** Whether a process is running and has not been asked to stop. */
  isUp = false;
  private proc?: Proc;
  private stopMs?: number;
  private wasKilled = false;
  private hasListened = false;
  private readonly log: WriteStream;

  private constructor(
    private readonly options: SoakEntryOptions,
    /** Relay between the entry and the store. */
    readonly storeRelay: Relay,
  ) {
    this.log = createWriteStream(join(options.folder, `${options.name}.log`));
  }

  /** Starts the relay to the store and the first process. */
  static async start(options: SoakEntryOptions): Promise<SoakEntry> {
    const {address, storePort} = options;
    const relay = new Relay({
      address,
      port: 0,
      toHost: '127.0.0.1',
      toPort: storePort,
    });
    await relay.listen();
    const entry = new SoakEntry(options, relay);
    entry.writeSettings();
    await entry.startProcess();
    return entry;
  }

  get name(): string {
    return this.options.name;
  }

  /** Host and port on which the entry accepts callers. */
  get callersEndpoint(): {host: string; port: number} {
    return callersEndpointOf(this.options.address);
  }

  /** Process id of the current process; 0 if there is none. */
  get pid(): number {
    return this.proc?.pid ?? 0;
  }

  /** Starts a process and waits until it listens or exits. */
  async startProcess(): Promise<void> {
    this.lifetime++;
    this.stopMs = undefined;
    this.wasKilled = false;
    this.hasListened = false;
    this.proc = Proc.start({
      script: 'src/daemon/direct-main.js',
      args: [],
      preload: ['stand-ins/site/clock-fault.js'],
      env: {[SETTINGS_PATH_VARIABLE]: this.settingsPath},
      // Opens the IPC channel that `stepClock` uses; no messages are expected.
      onMessage: () => undefined,
      onLine: (line) => this.recordLine(line),
    });
    this.isUp = true;
    void this.recordExit(this.proc, this.lifetime);
    // A fault may end the process before it listens; `recordExit` records it.
    await this.proc.ready.then(
      () => (this.hasListened = true),
      () => undefined,
    );
  }

  /** Kills the process. */
  async kill(): Promise<void> {
    this.isUp = false;
    this.wasKilled = true;
    this.proc?.kill();
    await this.proc?.exited;
  }

  /** Shuts the process down gracefully; kills it after the grace period. */
  async stop(): Promise<void> {
    this.isUp = false;
    this.stopMs = Date.now();
    this.proc?.terminate();
    const timer = setTimeout(
      () => void this.kill(),
      GRACE_PERIOD_MS + KILL_MARGIN_MS,
    );
    await this.proc?.exited;
    clearTimeout(timer);
  }

  pause(): void {
    this.proc?.pause();
  }

  resume(): void {
    this.proc?.resume();
  }

  /** Sets the offset of the process's wall clock, in milliseconds. */
  stepClock(offsetMs: number): void {
    this.proc?.send({offsetMs});
  }

  /** Writes the settings file, or only the first `share` of its text. */
  writeSettings(share = 1): void {
    const text = this.formatSettings();
    const part = text.slice(0, Math.floor(text.length * share));
    writeFileSync(this.settingsPath, part);
    if (this.hasListened) this.proc?.reload();
  }

  /** Whether the entry reports that it accepts new connections. */
  async isReady(): Promise<boolean> {
    const url = `http://${readinessAddressOf(this.options.address)}${Path.READY}`;
    const signal = AbortSignal.timeout(READINESS_TIMEOUT_MS);
    try {
      const {statusCode, body} = await request(url, {signal});
      await body.dump();
      return statusCode === 200;
    } catch {
      // An entry that does not respond accepts no connections either.
      return false;
    }
  }

  private async recordExit(proc: Proc, lifetime: number): Promise<void> {
    const code = await proc.exited;
    const {history} = this.options;
    if (proc.stderr !== '') history.strayLines.push(proc.stderr);
    history.entryEnds.push({
      entry: this.name,
      lifetime,
      code,
      wasKilled: this.wasKilled,
      hasListened: this.hasListened,
      stopMs: this.stopMs,
      endedMs: Date.now(),
    });
    this.isUp = false;
  }

  private recordLine(line: string): void {
    this.log.write(`${line}\n`);
    try {
      JSON.parse(line);
    } catch {
      // A killed process may leave an incomplete line.
      if (!this.wasKilled) this.options.history.strayLines.push(line);
    }
  }

  private get settingsPath(): string {
    return join(this.options.folder, `${this.name}.yaml`);
  }

  private formatSettings(): string {
    const {address, zone} = this.options;
    const settings = bootFile({
      name: this.name,
      address,
      zone,
      store: `${address}:${this.storeRelay.port}`,
      bounds: {
        grace_s: GRACE_PERIOD_MS / MS_PER_S,
        strict_revocation: true,
        revoke_ms: KEY_REVOCATION_MS,
        retry_budget_ratio: RETRY_RATIO,
        retry_window_s: RETRY_WINDOW_MS / MS_PER_S,
        retry_slack: RETRY_SLACK,
      },
    });
    return JSON.stringify(settings);
  }
}
