/** The process of an entry whose processor time is read. */
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {pathToFileURL} from 'node:url';

import {Path, SETTINGS_PATH_VARIABLE} from '../../../platform/names.js';
import {
  bootFile,
  callersEndpointOf,
  readinessAddressOf,
} from '../../../stand-ins/site/boot-file.js';
import {waitUntil} from '../../../tools/lab/lab.js';
import {Proc} from '../../../tools/lab/proc.js';

const NS_PER_US = 1_000;

/** The program of an entry in this build. */
const SCRIPT = 'src/daemon/direct-main.js';

/** The flags of Node.js with which an entry is deployed. */
const NODE_FLAGS = '--max-old-space-size=90';

const BOUNDS = {
  grace_s: 2,
  retry_budget_ratio: 0.8,
  retry_window_s: 10,
  retry_slack: 150,
};

/**
 * An entry that listens on an address of its own.
 *
 * @example
 * const entry = await MeasuredEntry.start({address: '127.22.0.1', store});
 * entry.cpuUs();
 */
export class MeasuredEntry {
  /** Host and port for callers. */
  readonly endpoint: {host: string; port: number};
  private readonly folder = mkdtempSync(join(tmpdir(), 'call-cost-'));
  private readonly proc: Proc;

  private constructor(options: EntryOptions) {
    const {address, store, program} = options;
    this.endpoint = callersEndpointOf(address);
    const path = join(this.folder, 'boot.json');
    const settings = {name: 'entry-1', address, zone: 'a', store};
    const file = bootFile({...settings, bounds: BOUNDS});
    writeFileSync(path, JSON.stringify(file));
    this.proc = Proc.start({
      script: program === undefined ? SCRIPT : pathToFileURL(program).href,
      args: [],
      env: {[SETTINGS_PATH_VARIABLE]: path, NODE_OPTIONS: NODE_FLAGS},
    });
  }

  /** Starts an entry and waits until it is ready. */
  static async start(options: EntryOptions): Promise<MeasuredEntry> {
    const entry = new MeasuredEntry(options);
    const ready = `http://${readinessAddressOf(options.address)}${Path.READY}`;
    await waitUntil({
      what: `the entry is ready ${entry.proc.stderr}`,
      check: async () => (await fetch(ready)).ok,
    });
    return entry;
  }

  /**
   * Processor time of all threads, in microseconds, read where the system counts
   * it without steps.
   */
  cpuUs(): number {
    const folder = `/proc/${this.proc.pid}/task`;
    let ns = 0;
    for (const thread of readdirSync(folder)) {
      const text = readFileSync(`${folder}/${thread}/schedstat`, 'utf8');
      ns += Number(text.split(' ')[0]);
    }
    return ns / NS_PER_US;
  }

  async stop(): Promise<void> {
    this.proc.kill();
    await this.proc.exited;
    rmSync(this.folder, {recursive: true});
  }
}

/** Parameters of an entry. */
export interface EntryOptions {
  /** A loopback address on which nothing else listens. */
  readonly address: string;
  /** HOST:PORT of the store. */
  readonly store: string;
  /** Path of the program of another build. */
  readonly program?: string;
}
