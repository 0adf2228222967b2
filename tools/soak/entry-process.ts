/** One process of an entry, from its start until it has ended. */
import {SETTINGS_PATH_VARIABLE} from '../../platform/names.js';
import type {SignalsHandled} from '../../stand-ins/site/signal-probe.js';
import {Proc} from '../lab/proc.js';
import {GRACE_PERIOD_MS} from './consts.js';
import type {EntryStart, History} from './history.js';
import {readPeakMemory, readProcessorWait} from './process-figures.js';

/** Time from the end of the grace period until SIGKILL, in milliseconds. */
const KILL_MARGIN_MS = 500;

const FIGURES_INTERVAL_MS = 100;

/** The flags of Node.js with which an entry is deployed. */
const NODE_FLAGS = '--max-old-space-size=90';

/** Message in the log line of a task that ended with an exception. */
const TASK_FAILED = 'task failed';

/** Parameters of a process. */
export interface EntryProcessOptions {
  /** Name of its entry. */
  readonly name: string;
  /** Number of the process among those of its entry. */
  readonly lifetime: number;
  readonly settingsPath: string;
  readonly history: History;
  /** Called with each line that it prints. */
  readonly onLine: (line: string) => void;
}

/**
 * A process of an entry, which records its start, its figures and its end.
 *
 * @example
 * const proc = new EntryProcess({name: 'entry-1', lifetime: 1, ...});
 * await proc.handlesSignals;
 * proc.reload();
 */
export class EntryProcess {
  /** Resolves once the program handles signals, or has ended. */
  readonly handlesSignals: Promise<unknown>;
  /** Resolves once the process listens, or has ended. */
  readonly listening: Promise<unknown>;
  private readonly proc: Proc;
  private readonly start: EntryStart;
  private readonly ended: Promise<void>;
  private stopMs?: number;
  private wasKilled = false;
  private hasOverrun = false;
  private hasListened = false;
  private onHandled!: () => void;

  constructor(private readonly options: EntryProcessOptions) {
    const {name, lifetime, settingsPath, history} = options;
    this.start = {
      entry: name,
      lifetime,
      startMs: Date.now(),
      processorWaitMs: 0,
      peakMemoryBytes: 0,
    };
    history.entryStarts.push(this.start);
    const handled = new Promise<void>((resolve) => (this.onHandled = resolve));
    this.proc = Proc.start({
      script: 'src/daemon/direct-main.js',
      args: [],
      preload: [
        'stand-ins/site/clock-fault.js',
        'stand-ins/site/signal-probe.js',
      ],
      env: {
        [SETTINGS_PATH_VARIABLE]: settingsPath,
        NODE_OPTIONS: NODE_FLAGS,
      },
      onMessage: (message) => this.recordHandled(message as SignalsHandled),
      onLine: (line) => this.recordLine(line),
    });
    this.ended = this.recordEnd();
    this.handlesSignals = Promise.race([handled, this.ended]);
    // A fault may end the process before it listens; `recordEnd` records it.
    this.listening = this.proc.ready.then(
      () => (this.hasListened = true),
      () => undefined,
    );
  }

  /** Process id; 0 if it could not be started. */
  get pid(): number {
    return this.proc.pid;
  }

  get isRunning(): boolean {
    return this.proc.isRunning;
  }

  /** Records that the entry told that it accepts connections. */
  recordServing(): void {
    this.recordFigures();
    this.start.servedMs ??= Date.now();
  }

  /** Kills the process. */
  async kill(): Promise<void> {
    this.wasKilled = true;
    this.proc.kill();
    await this.ended;
  }

  /** Shuts the process down gracefully; kills it after the grace period. */
  async stop(): Promise<void> {
    this.stopMs = Date.now();
    this.proc.terminate();
    const timer = setTimeout(() => {
      this.hasOverrun = true;
      this.proc.kill();
    }, GRACE_PERIOD_MS + KILL_MARGIN_MS);
    await this.ended;
    clearTimeout(timer);
  }

  /** Sends SIGHUP, unless Node.js itself is still starting. */
  reload(): void {
    if (this.start.handledMs !== undefined) this.proc.reload();
  }

  pause(): void {
    this.proc.pause();
  }

  resume(): void {
    this.proc.resume();
  }

  /** Sets the offset of the process's wall clock, in milliseconds. */
  stepClock(offsetMs: number): void {
    this.proc.send({offsetMs});
  }

  private recordHandled({handledAfterCpuMs}: SignalsHandled): void {
    this.start.handledMs = Date.now();
    this.start.handledAfterCpuMs = handledAfterCpuMs;
    this.onHandled();
  }

  private recordLine(line: string): void {
    this.options.onLine(line);
    const {history, name} = this.options;
    try {
      const {message, task, detail} = JSON.parse(line) as LogLine;
      if (message !== TASK_FAILED) return;
      history.taskFailures.push({entry: name, detail: `${task}: ${detail}`});
    } catch {
      // A killed process may leave an incomplete line.
      if (!this.wasKilled) history.strayLines.push(line);
    }
  }

  private async recordEnd(): Promise<void> {
    const timer = setInterval(() => this.recordFigures(), FIGURES_INTERVAL_MS);
    const code = await this.proc.exited;
    clearInterval(timer);
    const {history, name, lifetime} = this.options;
    if (this.proc.stderr !== '') history.strayLines.push(this.proc.stderr);
    history.entryEnds.push({
      entry: name,
      lifetime,
      code,
      wasKilled: this.wasKilled,
      hasOverrun: this.hasOverrun,
      hasListened: this.hasListened,
      handledMs: this.start.handledMs,
      stopMs: this.stopMs,
      endedMs: Date.now(),
    });
  }

  private recordFigures(): void {
    const {pid} = this.proc;
    const {start} = this;
    const bytes = readPeakMemory(pid);
    start.peakMemoryBytes = Math.max(start.peakMemoryBytes, bytes);
    if (start.servedMs === undefined) {
      const waitMs = readProcessorWait(pid);
      start.processorWaitMs = Math.max(start.processorWaitMs, waitMs);
    }
  }
}

/** Fields of a log line that are read here. */
interface LogLine {
  readonly message?: string;
  readonly task?: string;
  readonly detail?: string;
}
