/** One child process of a lab. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
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

/** A running program that can be stopped in several ways. */
export class Proc {
  /** Settles with the exit status; null after a signal. */
  readonly exited: Promise<number | null>;
  private running = true;
  private errText = '';

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
      this.errText += chunk.toString();
    });
  }

  /** Starts `dist/<script>` and waits for nothing. */
  static start(options: {script: string; args: readonly string[]}): Proc {
    const path = fileURLToPath(new URL(options.script, DIST));
    const child = spawn(process.execPath, [path, ...options.args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const ready = readReadyLine(child, options.script);
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
  get log(): string {
    return this.errText;
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
  freeze(): void {
    this.signal('SIGSTOP');
  }

  /** Lets a paused process go on. */
  thaw(): void {
    this.signal('SIGCONT');
  }

  private signal(name: NodeJS.Signals): void {
    if (this.running) this.child.kill(name);
  }
}

function readReadyLine(
  child: ChildProcess,
  script: string,
): Promise<ReadyFields> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      reject(new Error(`${script} did not get ready`));
    }, READY_TIMEOUT_MS);
    child.once('exit', (code) => {
      clearTimeout(timer);
      reject(new Error(`${script} ended with status ${code}`));
    });
    createInterface({input: child.stdout!}).once('line', (line) => {
      clearTimeout(timer);
      resolve(JSON.parse(line) as ReadyFields);
    });
  });
}
