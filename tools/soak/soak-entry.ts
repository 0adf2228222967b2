/** An entry of the soak: its processes, one after the other. */
import {createWriteStream, writeFileSync} from 'node:fs';
import type {WriteStream} from 'node:fs';
import {join} from 'node:path';

import {request} from 'undici';

import {BOOT_VARIABLE, Path} from '../../platform/names.js';
import {Relay} from '../../stand-ins/relay/relay.js';
import {
  bootFile,
  callersEndpointOf,
  readinessAddressOf,
} from '../../stand-ins/site/boot-file.js';
import {Proc} from '../lab/proc.js';
import {
  GRACE_MS,
  RETRY_RATIO,
  RETRY_SLACK,
  RETRY_WINDOW_MS,
  REVOKE_MS,
} from './consts.js';
import type {History} from './history.js';

const MS_PER_S = 1_000;
const READINESS_TIMEOUT_MS = 400;

/** Time from SIGTERM to SIGKILL beyond the grace, in milliseconds. */
const KILL_MARGIN_MS = 500;

/** Where an entry is put, and what it follows. */
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

/** One place of an entry, whose process may end and be started anew. */
export class SoakEntry {
  /** Starts so far. */
  lifetime = 0;
  /** Whether a process runs and was not told to stop. */
  isUp = false;
  private proc?: Proc;
  private stopMs?: number;
  private wasKilled = false;
  private hasListened = false;
  private readonly log: WriteStream;

  private constructor(
    private readonly options: SoakEntryOptions,
    /** Stands between the entry and the store. */
    readonly storeRelay: Relay,
  ) {
    this.log = createWriteStream(join(options.folder, `${options.name}.log`));
  }

  /** Starts the relay to the store, and the first process. */
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
    await entry.run();
    return entry;
  }

  get name(): string {
    return this.options.name;
  }

  get callers(): {host: string; port: number} {
    return callersEndpointOf(this.options.address);
  }

  /** Identity of the present process on this machine. */
  get pid(): number {
    return this.proc?.pid ?? 0;
  }

  /** Starts a process and waits until it listens or ends. */
  async run(): Promise<void> {
    this.lifetime++;
    this.stopMs = undefined;
    this.wasKilled = false;
    this.hasListened = false;
    this.proc = Proc.start({
      script: 'src/daemon/direct-main.js',
      args: [],
      preload: ['stand-ins/site/clock-fault.js'],
      env: {[BOOT_VARIABLE]: this.settingsPath},
      onMessage: () => undefined,
      onLine: (line) => this.noteLine(line),
    });
    this.isUp = true;
    void this.watchEnd(this.proc, this.lifetime);
    // A fault may end the process before it listens; its end is noted.
    await this.proc.ready.then(
      () => (this.hasListened = true),
      () => undefined,
    );
  }

  /** Ends the process with no notice. */
  async kill(): Promise<void> {
    this.isUp = false;
    this.wasKilled = true;
    this.proc?.kill();
    await this.proc?.exited;
  }

  /** Stops the process as planned, and kills it after the grace. */
  async stop(): Promise<void> {
    this.isUp = false;
    this.stopMs = Date.now();
    this.proc?.terminate();
    const timer = setTimeout(() => void this.kill(), GRACE_MS + KILL_MARGIN_MS);
    await this.proc?.exited;
    clearTimeout(timer);
  }

  pause(): void {
    this.proc?.freeze();
  }

  resume(): void {
    this.proc?.thaw();
  }

  /** Steps the process's wall clock. */
  stepClock(offsetMs: number): void {
    this.proc?.send({offsetMs});
  }

  /** Writes the settings, whole or up to a share of them. */
  writeSettings(share = 1): void {
    const text = this.settingsText();
    const part = text.slice(0, Math.floor(text.length * share));
    writeFileSync(this.settingsPath, part);
    if (this.hasListened) this.proc?.reload();
  }

  /** Whether the entry says that it takes new connections. */
  async isReady(): Promise<boolean> {
    const url = `http://${readinessAddressOf(this.options.address)}${Path.READY}`;
    const signal = AbortSignal.timeout(READINESS_TIMEOUT_MS);
    try {
      const {statusCode, body} = await request(url, {signal});
      await body.dump();
      return statusCode === 200;
    } catch {
      // An entry that cannot be asked takes no connections either.
      return false;
    }
  }

  private async watchEnd(proc: Proc, lifetime: number): Promise<void> {
    const code = await proc.exited;
    const {history} = this.options;
    if (proc.log !== '') history.strayLines.push(proc.log);
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

  private noteLine(line: string): void {
    this.log.write(`${line}\n`);
    try {
      JSON.parse(line);
    } catch {
      // A process that is killed may leave half a line.
      if (!this.wasKilled) this.options.history.strayLines.push(line);
    }
  }

  private get settingsPath(): string {
    return join(this.options.folder, `${this.name}.yaml`);
  }

  private settingsText(): string {
    const {address, zone} = this.options;
    const settings = bootFile({
      name: this.name,
      address,
      zone,
      store: `${address}:${this.storeRelay.port}`,
      bounds: {
        grace_s: GRACE_MS / MS_PER_S,
        strict_revocation: true,
        revoke_ms: REVOKE_MS,
        retry_budget_ratio: RETRY_RATIO,
        retry_window_s: RETRY_WINDOW_MS / MS_PER_S,
        retry_slack: RETRY_SLACK,
      },
    });
    return JSON.stringify(settings);
  }
}
