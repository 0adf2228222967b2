/** A program of the product that is watched and signalled while it starts. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {Readable} from 'node:stream';

const US_PER_MS = 1_000;

/** Time within which a line is expected, and between two looks for it, in ms. */
const LOG_TIMEOUT_MS = 20_000;
const POLL_MS = 20;

/** Descriptor on which the probe reports. */
const PROBE_FD = 3;

/** Variable with a signal that the process gets as soon as it handles SIGHUP. */
const OWN_SIGNAL = 'PROBE_SIGNAL';

/**
 * Reports the processor time, in microseconds, that the process has used when it
 * first handles SIGHUP.
 */
const PROBE = `
const report = (name) => {
  if (name !== 'SIGHUP') return;
  process.off('newListener', report);
  const {user, system} = process.cpuUsage();
  require('node:fs').writeSync(${PROBE_FD}, String(user + system));
  const own = process.env.${OWN_SIGNAL};
  if (own !== undefined) process.kill(process.pid, own);
};
process.on('newListener', report);
`;

/** Files of a test that are removed with it. */
export class ProgramFolder {
  private readonly folder = mkdtempSync(join(tmpdir(), 'starting-program-'));
  /** Written once, as programs that start at the same time read it. */
  readonly probe = this.write('probe.cjs', PROBE);

  path(name: string): string {
    return join(this.folder, name);
  }

  write(name: string, text: string): string {
    const path = this.path(name);
    writeFileSync(path, text);
    return path;
  }

  remove(): void {
    rmSync(this.folder, {recursive: true});
  }
}

/**
 * A process from its start until it has ended.
 *
 * @example
 * const program = new StartingProgram({folder, argv: ['target/direct.cjs']});
 * const cpuMs = await program.untilHandled();
 * program.signal('SIGHUP');
 */
export class StartingProgram {
  /** Exit status or signal, once the process has ended. */
  end?: string;
  private readonly child: ChildProcess;
  private readonly exited: Promise<unknown>;
  private readonly handled: Promise<number>;
  private errorText = '';
  private outputText = '';

  constructor(options: {
    folder: ProgramFolder;
    /** Program and its arguments. */
    argv: readonly string[];
    env?: Readonly<Record<string, string>>;
    /** A signal that it gets at its first line, while it is loaded. */
    earlySignal?: NodeJS.Signals;
  }) {
    const {folder, argv, env, earlySignal} = options;
    const own = earlySignal === undefined ? {} : {[OWN_SIGNAL]: earlySignal};
    const words = ['--require', folder.probe, ...argv];
    this.child = spawn(process.execPath, words, {
      stdio: ['ignore', 'pipe', 'pipe', 'pipe'],
      env: {...process.env, ...env, ...own},
    });
    this.child.stderr!.on('data', (chunk) => (this.errorText += String(chunk)));
    this.child.stdout!.on('data', (chunk) => {
      this.outputText += String(chunk);
    });
    this.exited = once(this.child, 'exit').then(([code, signal]) => {
      this.end = `status ${code}, signal ${signal}`;
    });
    const report = once(this.child.stdio[PROBE_FD] as Readable, 'data');
    this.handled = report.then(([chunk]) => Number(String(chunk)) / US_PER_MS);
  }

  /** Resolves to the processor time used until SIGHUP is handled, in ms. */
  untilHandled(): Promise<number> {
    return this.handled;
  }

  /** Closes the reading ends of its standard output and standard error. */
  closeReaders(): void {
    this.child.stdout!.destroy();
    this.child.stderr!.destroy();
  }

  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** What it has written to standard error. */
  get errors(): string {
    return this.errorText;
  }

  /** What it has written to standard output: its log. */
  get output(): string {
    return this.outputText;
  }

  /** Number of log lines that contain a text. */
  countLines(text: string): number {
    return this.output.split('\n').filter((line) => line.includes(text)).length;
  }

  /** Resolves once a log line contains the text; rejects after a time. */
  async untilLogged(text: string, timeoutMs = LOG_TIMEOUT_MS): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    while (this.countLines(text) === 0) {
      if (performance.now() > endMs)
        throw new Error(`no line has '${text}': ${this.output}${this.errors}`);
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  /** Resolves to the exit status or signal. */
  async ended(): Promise<string> {
    await this.exited;
    return this.end!;
  }

  async kill(): Promise<void> {
    if (this.end === undefined) this.signal('SIGKILL');
    await this.exited;
  }
}
