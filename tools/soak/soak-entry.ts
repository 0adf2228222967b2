/** An entry of the soak and its consecutive processes. */
import {createWriteStream, writeFileSync} from 'node:fs';
import type {WriteStream} from 'node:fs';
import {join} from 'node:path';

import {request} from 'undici';

import {Path} from '../../platform/names.js';
import {Relay} from '../../stand-ins/relay/relay.js';
import {
  bootFile,
  callersEndpointOf,
  FIRST_PEER_PORT,
  readinessAddressOf,
} from '../../stand-ins/site/boot-file.js';
import {
  GRACE_PERIOD_MS,
  RETRY_RATIO,
  RETRY_SLACK,
  RETRY_WINDOW_MS,
  KEY_REVOCATION_MS,
} from './consts.js';
import {EntryProcess} from './entry-process.js';
import type {History} from './history.js';
import {METRICS_PORT, readTaskFailures} from './process-figures.js';

const MS_PER_S = 1_000;
const READINESS_TIMEOUT_MS = 400;

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
  /** Whether a process was started and has not been asked to stop. */
  isUp = false;
  private proc?: EntryProcess;
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

  /** Host and port on which the entry tells whether it is ready. */
  get readinessEndpoint(): {host: string; port: number} {
    const {address} = this.options;
    const port = Number(readinessAddressOf(address).split(':').at(-1));
    return {host: address, port};
  }

  /** Ports for callers, readiness, metrics and other entries. */
  get listeningPorts(): number[] {
    return [
      this.callersEndpoint.port,
      this.readinessEndpoint.port,
      METRICS_PORT,
      FIRST_PEER_PORT,
    ];
  }

  /** The process that was started last. */
  get current(): EntryProcess {
    return this.proc!;
  }

  /** Process id of the current process; 0 if there is none. */
  get pid(): number {
    return this.proc?.pid ?? 0;
  }

  /** Starts a process and waits until it listens or exits. */
  async startProcess(): Promise<void> {
    const {name, history} = this.options;
    const proc = new EntryProcess({
      name,
      lifetime: ++this.lifetime,
      settingsPath: this.settingsPath,
      history,
      onLine: (line) => this.log.write(`${line}\n`),
    });
    this.proc = proc;
    this.isUp = true;
    await proc.listening;
  }

  /** Kills the process. */
  async kill(): Promise<void> {
    this.isUp = false;
    await this.proc?.kill();
  }

  /** Shuts the process down gracefully; kills it after the grace period. */
  async stop(): Promise<void> {
    this.isUp = false;
    await this.proc?.stop();
  }

  pause(): void {
    this.proc?.pause();
  }

  resume(): void {
    this.proc?.resume();
  }

  /** Sets the offset of the process's wall clock, in milliseconds. */
  stepClock(offsetMs: number): void {
    this.proc?.stepClock(offsetMs);
  }

  /** Writes the settings file, or only the first `share` of its text. */
  writeSettings(share = 1): void {
    const text = this.formatSettings(RETRY_SLACK);
    this.write(text.slice(0, Math.floor(text.length * share)));
  }

  /** Writes settings with a part of the retry slack, which no check sees. */
  writeChangedSettings(slackShare: number): void {
    this.write(this.formatSettings(Math.floor(RETRY_SLACK * slackShare)));
  }

  /** Records the tasks of the current process that ended with an exception. */
  async recordTaskFailures(): Promise<void> {
    const {name, address, history} = this.options;
    const count = await readTaskFailures(address);
    if (count === 0) return;
    history.taskFailures.push({entry: name, detail: `${count} in its metrics`});
  }

  /** Whether the entry reports that it accepts new connections. */
  async isReady(): Promise<boolean> {
    const url = `http://${readinessAddressOf(this.options.address)}${Path.READY}`;
    const signal = AbortSignal.timeout(READINESS_TIMEOUT_MS);
    try {
      const {statusCode, body} = await request(url, {signal});
      await body.dump();
      const isReady = statusCode === 200;
      if (isReady) this.proc?.recordServing();
      return isReady;
    } catch {
      // An entry that does not respond accepts no connections either.
      return false;
    }
  }

  private write(text: string): void {
    writeFileSync(this.settingsPath, text);
    this.proc?.reload();
  }

  private get settingsPath(): string {
    return join(this.options.folder, `${this.name}.yaml`);
  }

  private formatSettings(retrySlack: number): string {
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
        retry_slack: retrySlack,
      },
    });
    return JSON.stringify(settings);
  }
}
