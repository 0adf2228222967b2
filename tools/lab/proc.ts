/** One child process of a lab. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import type {Interface} from 'node:readline';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

import {DIST} from './paths.js';

const READY_TIMEOUT_MS = 20_000;

/** Fields of the line that a program prints once it listens. */
export interface ReadyFields {
  readonly port?: number;
  readonly controlPort?: number;
  readonly peersPort?: number;
  readonly operatorsPort?: number;
  readonly callersPort?: number;
}

/** How a program is started. */
export interface ProcOptions {
  /** Path of the program below `dist/`. */
  readonly script: string;
  readonly args: readonly string[];
  /** Modules that are loaded before the program, below `dist/`. */
  readonly preload?: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** Opens a channel for messages and takes what comes on it. */
  readonly onMessage?: (message: unknown) => void;
  /** Takes each line of standard output. */
  readonly onLine?: (line: string) => void;
}

/** A running program that can be stopped in several ways. */
export class Proc {
  /** Settles with the exit status; null after a signal. */
  readonly exited: Promise<number | null>;
  private running = true;
  private stderrText = '';

  private constructor(
    private readonly child: ChildProcess,
    readonly ready: Promise<ReadyFields>,
  ) {
    this.exited = new Promise((resolve) => {
      child.once('exit', (code) => {
        this.running = false;
        resolve(code);
      });
    });
    child.stderr?.on('data', (chunk: Buffer) => {
      this.stderrText += chunk.toString();
    });
  }

  /** Starts `dist/<script>` and waits for nothing. */
  static start(options: ProcOptions): Proc {
    const {script, args, preload = [], env, onMessage, onLine} = options;
    const imports = preload.flatMap((module) => ['--import', toPath(module)]);
    const channel = onMessage === undefined ? [] : ['ipc' as const];
    const argv = [...imports, toPath(script), ...args];
    const child = spawn(process.execPath, argv, {
      stdio: ['ignore', 'pipe', 'pipe', ...channel],
      env: {...process.env, ...env},
    });
    if (onMessage !== undefined) child.on('message', onMessage);
    const lines = createInterface({input: child.stdout!});
    if (onLine !== undefined) lines.on('line', onLine);
    const ready = readReadyLine({child, lines, script});
    ready.catch(() => undefined);
    return new Proc(child, ready);
  }

  /** Identity of the process on this machine. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.running;
  }

  /** All that the program wrote to standard error. */
  get stderr(): string {
    return this.stderrText;
  }

  /** Sends a message to a process that was started with a channel. */
  send(message: object): void {
    if (!this.running || !this.child.connected) return;
    // A process that has just ended gets no message; its end is seen.
    this.child.send(message, () => undefined);
  }

  /** Has the process read its settings anew. */
  reload(): void {
    this.signal('SIGHUP');
  }

  /** Ends the process with no notice. */
  kill(): void {
    this.signal('SIGKILL');
  }

  /** Asks the process to stop as planned. */
  terminate(): void {
    this.signal('SIGTERM');
  }

  /** Pauses the process. */
  pause(): void {
    this.signal('SIGSTOP');
  }

  /** Lets a paused process go on. */
  resume(): void {
    this.signal('SIGCONT');
  }

  private signal(name: NodeJS.Signals): void {
    if (this.running) this.child.kill(name);
  }
}

function toPath(module: string): string {
  return fileURLToPath(new URL(module, DIST));
}

function readReadyLine(options: {
  child: ChildProcess;
  lines: Interface;
  script: string;
}): Promise<ReadyFields> {
  const {child, lines, script} = options;
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      reject(new Error(`${script} did not get ready`));
    }, READY_TIMEOUT_MS);
    child.once('exit', (code) => {
      clearTimeout(timer);
      reject(new Error(`${script} ended with status ${code}`));
    });
    lines.once('line', (line) => {
      clearTimeout(timer);
      resolve(JSON.parse(line) as ReadyFields);
    });
  });
}
