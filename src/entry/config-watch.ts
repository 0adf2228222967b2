/** Brings the accepted configuration from the platform into force. */
import {Just} from 'purify-ts';

import type {Clock, TimerHandle} from '../core/clock/index.js';
import {
  CONFIG_OBJECT,
  resolveSiteConfig,
  resolveStoredConfig,
} from '../core/config/index.js';
import type {ObjectStore, WatchHandle} from '../core/edges/index.js';
import type {Logger} from '../core/logs/index.js';
import type {Metrics} from '../core/metrics/index.js';
import {CounterName} from '../core/metrics/index.js';
import {CONFIG_RETRY_MS} from './consts.js';
import type {EntryBoard} from './entry-board.js';

/** Reads, then watches, the configuration; versions only grow. */
export class ConfigWatch {
  private watch: WatchHandle | undefined;
  private timer: TimerHandle | undefined;
  private stopped = false;

  constructor(
    private readonly options: {
      board: EntryBoard;
      clock: Clock;
      store: ObjectStore;
      site: string;
      metrics: Metrics;
      logger: Logger;
    },
  ) {}

  open(): void {
    const {store} = this.options;
    void store.read(CONFIG_OBJECT).match(
      (found) => {
        found.ifJust(({version, value}) => this.accept(version, value));
        this.follow(found.map(({version}) => version).orDefault(0));
      },
      () => this.retry(),
    );
  }

  close(): void {
    this.stopped = true;
    this.timer?.cancel();
    this.watch?.close();
  }

  private follow(since: number): void {
    if (this.stopped) return;
    this.watch = this.options.store.watch({
      kind: CONFIG_OBJECT.kind,
      since,
      onEvent: ({name, version, value}) => {
        if (name !== CONFIG_OBJECT.name || value === undefined) return;
        this.accept(version, value);
      },
      onClosed: () => this.retry(),
    });
  }

  private retry(): void {
    if (this.stopped) return;
    this.timer = this.options.clock.schedule({
      delayMs: CONFIG_RETRY_MS,
      run: () => this.open(),
    });
  }

  private accept(version: number, value: unknown): void {
    const {board, clock, site, logger, metrics} = this.options;
    board.configHeardAtMs.set(clock.now());
    const before = board.config.get().extract()?.version ?? 0;
    if (version <= before) return;
    const stored = resolveStoredConfig(value).extract();
    if (stored === undefined) {
      logger.error('configuration of unknown shape', {version});
      return;
    }
    resolveSiteConfig({document: stored.document, site}).match(
      (cfg) => {
        board.config.set(Just({version, cfg}));
        metrics.count(CounterName.CONFIG_CHANGES);
        logger.info('configuration in force', {version, before});
      },
      (err) => logger.error('configuration refused', {detail: err.detail}),
    );
  }
}
