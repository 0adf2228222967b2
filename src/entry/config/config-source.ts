/** Receives the configuration from the platform by a watch or single reads. */
import type {Clock, RandomSource, TimerHandle} from '../../core/clock/index.js';
import {CONFIG_OBJECT} from '../../core/config/index.js';
import type {
  ObjectStore,
  WatchEvent,
  WatchHandle,
} from '../../core/edges/index.js';
import type {Supervisor, Task} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import type {ConfigActivator} from './config-activator.js';
import {CONFIG_RETRY_MS} from '../consts.js';

/** Reads once at the start, and watches while this entry is elected. */
export class ConfigSource {
  private watch: WatchHandle | undefined;
  private retryTimer: TimerHandle | undefined;
  private isWatching = false;
  private isReading = false;
  private readAtMs = Number.NEGATIVE_INFINITY;
  private isStopped = false;
  private readonly readTask: Task = {
    name: TaskName.CONFIG,
    onFailure: () => this.retry(),
  };

  constructor(
    private readonly options: {
      clock: Clock;
      random: RandomSource;
      store: ObjectStore;
      activator: ConfigActivator;
      supervisor: Supervisor;
    },
  ) {}

  stop(): void {
    this.isStopped = true;
    this.stopWatch();
  }

  /** Time since the last read began, in milliseconds. */
  sinceReadMs(): number {
    return this.options.clock.now() - this.readAtMs;
  }

  /** Starts the watch, with a read before it, or stops the watch. */
  setWatching(watching: boolean): void {
    if (watching === this.isWatching) return;
    this.isWatching = watching;
    if (watching) this.refresh();
    else this.stopWatch();
  }

  /** Reads once, and then watches from that version if elected. */
  refresh(): void {
    if (this.isReading || this.isStopped) return;
    this.options.supervisor.run(this.readTask, () => this.read());
  }

  private async read(): Promise<void> {
    const {clock, store, activator} = this.options;
    this.isReading = true;
    this.readAtMs = clock.now();
    try {
      const read = await store.read(CONFIG_OBJECT);
      if (read.isErr()) return this.retry();
      const found = read.value;
      const version = found.map((object) => object.version).orDefault(0);
      const value = found.map((object) => object.value).orDefault(null);
      activator.receiveFromPlatform({version, value});
      this.startWatch(version);
    } finally {
      this.isReading = false;
    }
  }

  private startWatch(since: number): void {
    if (!this.isWatching || this.isStopped) return;
    this.stopWatch();
    const {store, activator, supervisor} = this.options;
    this.watch = store.watch({
      kind: CONFIG_OBJECT.kind,
      since,
      // An event that could not be handled is found by the next read.
      onEvent: supervisor.guard(
        this.readTask,
        ({name, version, value}: WatchEvent) => {
          if (name !== CONFIG_OBJECT.name || value === undefined) return;
          activator.receiveFromPlatform({version, value});
        },
      ),
      onAlive: supervisor.guard({name: TaskName.CONFIG}, () =>
        activator.recordConfirmation(0),
      ),
      // The watch closed or its history was compacted: read again, as
      // changes may have been missed.
      onClosed: () => this.retry(),
    });
  }

  private retry(): void {
    if (!this.isWatching || this.isStopped) return;
    const {clock, random} = this.options;
    this.retryTimer?.cancel();
    this.retryTimer = clock.schedule({
      delayMs: CONFIG_RETRY_MS * (0.5 + random.float()),
      run: () => this.refresh(),
    });
  }

  private stopWatch(): void {
    this.retryTimer?.cancel();
    this.watch?.close();
    this.watch = undefined;
  }
}
