/** A child process of the test harness. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import type {Interface} from 'node:readline';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

import {DIST} from './paths.js';

const READY_TIMEOUT_MS = 20_000;

/** Fields of the JSON line that a program prints once it listens. */
export interface ReadyFields {
  readonly port?: number;
  readonly controlPort?: number;
  readonly peersPort?: number;
  readonly operatorsPort?: number;
  readonly callersPort?: number;
}

/** What the system allows a program. */
export interface ProcLimits {
  /** Heap in MB. */
  readonly heapMb: number;
  /** Largest number of open descriptors. */
  readonly descriptors: number;
}

/** Options for starting a program. */
export interface ProcOptions {
  /** Path of the program below `dist/`. */
  readonly script: string;
  readonly args: readonly string[];
  /** Paths below `dist/` of modules that are loaded before the program. */
  readonly preload?: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** None but those of this process by default. */
  readonly limits?: ProcLimits;
  /** Opens an IPC channel; called with each message received on it. */
  readonly onMessage?: (message: unknown) => void;
  /** Called with each line of standard output. */
  readonly onLine?: (line: string) => void;
}

/**
 * A program in a child process, controlled by signals.
 *
 * @example
 * const proc = Proc.start({script: 'stand-ins/ledger/main.js', args: []});
 */
export class Proc {
  /** Resolves to the exit status; null if a signal ended the process. */
  readonly exited: Promise<number | null>;
  private running = true;
  private stderrText = '';

  private constructor(
    private readonly child: ChildProcess,
    /**
     * Resolves when the program listens; rejects if it exits before that or
     * takes longer than `READY_TIMEOUT_MS`.
     */
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

  /** Starts `dist/<script>` without waiting until it is ready. */
  static start(options: ProcOptions): Proc {
    const {script, args, preload = [], env, onMessage, onLine} = options;
    const {limits} = options;
    const imports = preload.flatMap((module) => ['--import', toPath(module)]);
    const channel = onMessage === undefined ? [] : ['ipc' as const];
    const argv = [...imports, toPath(script), ...args];
    const command = toCommand([process.execPath, ...argv], limits);
    const child = spawn(command[0]!, command.slice(1), {
      stdio: ['ignore', 'pipe', 'pipe', ...channel],
      env: {...process.env, ...env},
    });
    if (onMessage !== undefined) child.on('message', onMessage);
    const lines = createInterface({input: child.stdout!});
    if (onLine !== undefined) lines.on('line', onLine);
    const ready = readReadyLine({child, lines, script});
    // Prevents an unhandled rejection if the caller does not await `ready`.
    ready.catch(() => undefined);
    return new Proc(child, ready);
  }

  /** Process id; 0 if the process could not be started. */
  get pid(): number {
    return this.child.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.running;
  }

  /** Standard error output so far. */
  get stderr(): string {
    return this.stderrText;
  }

  /** Sends a message on the IPC channel, if the process has one. */
  send(message: object): void {
    if (!this.running || !this.child.connected) return;
    // Ignores send errors: the process may have just exited, which `exited`
    // reports.
    this.child.send(message, () => undefined);
  }

  /** Makes the process reload its settings (SIGHUP). */
  reload(): void {
    this.signal('SIGHUP');
  }

  /** Kills the process (SIGKILL). */
  kill(): void {
    this.signal('SIGKILL');
  }

  /** Requests a graceful shutdown (SIGTERM). */
  terminate(): void {
    this.signal('SIGTERM');
  }

  /** Pauses the process (SIGSTOP). */
  pause(): void {
    this.signal('SIGSTOP');
  }

  /** Resumes a paused process (SIGCONT). */
  resume(): void {
    this.signal('SIGCONT');
  }

  private signal(name: NodeJS.Signals): void {
    if (this.running) this.child.kill(name);
  }
}

/** Puts a command under limits. */
function toCommand(
  words: readonly string[],
  limits: ProcLimits | undefined,
): readonly string[] {
  if (limits === undefined) return words;
  const [program = '', ...args] = words;
  const heap = `--max-old-space-size=${limits.heapMb}`;
  const limited = `ulimit -n ${limits.descriptors}; exec "$@"`;
  return ['/bin/sh', '-c', limited, 'sh', program, heap, ...args];
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
      reject(new Error(`${script} did not become ready in time`));
    }, READY_TIMEOUT_MS);
    child.once('exit', (code) => {
      clearTimeout(timer);
      reject(new Error(`${script} exited with status ${code}`));
    });
    lines.once('line', (line) => {
      clearTimeout(timer);
      resolve(JSON.parse(line) as ReadyFields);
    });
  });
}
