/** Hears the platform's configuration: by a watch, or by reading now and then. */
import type {Clock, RandomSource, TimerHandle} from '../../core/clock/index.js';
import {CONFIG_OBJECT} from '../../core/config/index.js';
import type {ObjectStore, WatchHandle} from '../../core/edges/index.js';
import type {ConfigActivator} from './config-activator.js';
import {CONFIG_RETRY_MS} from '../consts.js';

/** Reads at the start; watches while it is elected to. */
export class ConfigSource {
  private watch: WatchHandle | undefined;
  private retryTimer: TimerHandle | undefined;
  private watching = false;
  private reading = false;
  private readAtMs = Number.NEGATIVE_INFINITY;
  private stopped = false;

  constructor(
    private readonly options: {
      clock: Clock;
      random: RandomSource;
      store: ObjectStore;
      force: ConfigActivator;
    },
  ) {}

  stop(): void {
    this.stopped = true;
    this.endWatch();
  }

  /** Time since the last read began, in milliseconds. */
  sinceReadMs(): number {
    return this.options.clock.now() - this.readAtMs;
  }

  /** Begins or ends to watch. */
  setWatching(watching: boolean): void {
    if (watching === this.watching) return;
    this.watching = watching;
    if (watching) this.refresh();
    else this.endWatch();
  }

  /** Reads once, and watches from there on where it should. */
  refresh(): void {
    if (this.reading || this.stopped) return;
    const {clock, store} = this.options;
    this.reading = true;
    this.readAtMs = clock.now();
    void store
      .read(CONFIG_OBJECT)
      .match(
        (found) => {
          const version = found.map((object) => object.version).orDefault(0);
          const value = found.map((object) => object.value).orDefault(null);
          this.options.force.receiveFromPlatform({version, value});
          this.follow(version);
        },
        () => this.retry(),
      )
      .then(() => {
        this.reading = false;
      });
  }

  private follow(since: number): void {
    if (!this.watching || this.stopped) return;
    this.endWatch();
    this.watch = this.options.store.watch({
      kind: CONFIG_OBJECT.kind,
      since,
      onEvent: ({name, version, value}) => {
        if (name !== CONFIG_OBJECT.name || value === undefined) return;
        this.options.force.receiveFromPlatform({version, value});
      },
      onAlive: () => this.options.force.recordConfirmation(0),
      // Closed or compacted: what was missed is found by reading again.
      onClosed: () => this.retry(),
    });
  }

  private retry(): void {
    if (!this.watching || this.stopped) return;
    const {clock, random} = this.options;
    this.retryTimer?.cancel();
    this.retryTimer = clock.schedule({
      delayMs: CONFIG_RETRY_MS * (0.5 + random.float()),
      run: () => this.refresh(),
    });
  }

  private endWatch(): void {
    this.retryTimer?.cancel();
    this.watch?.close();
    this.watch = undefined;
  }
}
