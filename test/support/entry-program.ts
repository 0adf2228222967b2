/** The program of a direct entry, started as the deploy file starts it. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {request} from 'undici';

import {SETTINGS_PATH_VARIABLE} from '../../platform/names.js';
import {bootFile, readinessAddressOf} from '../../stand-ins/site/boot-file.js';

/** Heap of the deploy file. */
const HEAP_FLAG = '--max-old-space-size=90';

const KB = 1_024;

/** Options of a program. */
export interface EntryProgramOptions {
  /** A loopback address on which nothing else listens. */
  readonly address: string;
  /** Store as HOST:PORT. */
  readonly store: string;
  /** Memory that the platform allows the process, in MB. */
  readonly memoryMb?: number;
  /** Name of its VM; 'entry-1' by default. */
  readonly name?: string;
  /** Further limits by their names in the file. */
  readonly bounds?: Readonly<Record<string, number | boolean>>;
  /** What the platform asks for besides, such as 'rollout'. */
  readonly contracts?: readonly string[];
}

/**
 * A direct entry in a process of its own.
 *
 * @example
 * const entry = new EntryProgram({address: '127.9.0.2', store});
 * entry.start();
 */
export class EntryProgram {
  /** Exit status or signal, once the process has ended by itself. */
  end?: string;
  private readonly folder = mkdtempSync(join(tmpdir(), 'entry-program-'));
  private child?: ChildProcess;

  constructor(private readonly options: EntryProgramOptions) {}

  start(): void {
    const {address, store, memoryMb, name = 'entry-1'} = this.options;
    const {contracts} = this.options;
    const path = join(this.folder, 'boot.json');
    const bounds = {grace_s: 2, ...this.options.bounds};
    const boot = bootFile({name, address, zone: 'a', store, bounds});
    const limits = {memory_mb: memoryMb};
    writeFileSync(path, JSON.stringify({...boot, limits, contracts}));
    this.child = spawn(
      process.execPath,
      [HEAP_FLAG, 'dist/src/daemon/direct-main.js'],
      {
        stdio: 'ignore',
        env: {...process.env, [SETTINGS_PATH_VARIABLE]: path},
      },
    );
    void once(this.child, 'exit').then(([code, signal]) => {
      this.end = `status ${code}, signal ${signal}`;
    });
  }

  /** Sends a signal to the process. */
  signal(signal: NodeJS.Signals): void {
    this.child!.kill(signal);
  }

  /** Whether it takes new callers. */
  async isReady(): Promise<boolean> {
    const url = `http://${readinessAddressOf(this.options.address)}/-/readyz`;
    const {statusCode, body} = await request(url, {reset: true});
    await body.dump();
    return statusCode === 200;
  }

  /** Largest resident memory so far, in bytes. */
  peakBytes(): number {
    const status = readFileSync(`/proc/${this.child!.pid}/status`, 'utf8');
    return Number(/VmHWM:\s+(\d+) kB/.exec(status)![1]) * KB;
  }

  async stop(): Promise<void> {
    if (this.end === undefined) {
      const exited = once(this.child!, 'exit');
      this.child!.kill('SIGKILL');
      await exited;
    }
    rmSync(this.folder, {recursive: true});
  }
}
