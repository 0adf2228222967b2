/** Brings the highest version that this entry has met into force. */
import {Just} from 'purify-ts';

import type {Clock, TimerHandle} from '../../core/clock/index.js';
import type {ConfigUpdate} from '../../core/config/distribution/index.js';
import {ConfigHolder} from '../../core/config/distribution/index.js';
import {resolveSiteConfig, parseStoredConfig} from '../../core/config/index.js';
import type {Logger} from '../../core/logs/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName} from '../../core/metrics/index.js';
import {INITIAL_PEER_WAIT_MS} from '../consts.js';
import type {EntryBoard} from '../entry-board.js';

/**
 * Holds the highest version and puts it on the board. What peers tell comes
 * into force once the platform has answered, or once a first look has given
 * several peers the time to tell theirs.
 */
export class ConfigActivator {
  readonly holder = new ConfigHolder();
  private open = false;
  private timer: TimerHandle | undefined;

  constructor(
    private readonly options: {
      board: EntryBoard;
      clock: Clock;
      site: string;
      metrics: Metrics;
      logger: Logger;
    },
  ) {}

  start(): void {
    this.timer = this.options.clock.schedule({
      delayMs: INITIAL_PEER_WAIT_MS,
      run: () => this.openDoors(),
    });
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** Time since the platform last confirmed the version, in milliseconds. */
  ageMs(): number {
    const {board, clock} = this.options;
    return clock.now() - board.configConfirmedAtMs.get();
  }

  /** The platform's word: it confirms what this entry holds. */
  receiveFromPlatform(news: ConfigUpdate): void {
    const isNew = this.holder.offer(news);
    if (news.version >= this.holder.version) this.recordConfirmation(0);
    this.openDoors();
    if (isNew) this.bringIntoForce();
  }

  /** A peer's word, and how old its own news is. */
  receiveFromPeer(news: ConfigUpdate, ageMs: number): void {
    const isNew = this.holder.offer(news);
    if (news.version >= this.holder.version) this.recordConfirmation(ageMs);
    if (isNew && this.open) this.bringIntoForce();
  }

  /** The platform still answers for the version that this entry holds. */
  recordConfirmation(ageMs: number): void {
    const {board, clock} = this.options;
    const heardAtMs = clock.now() - ageMs;
    board.configConfirmedAtMs.set(
      Math.max(board.configConfirmedAtMs.get(), heardAtMs),
    );
  }

  private openDoors(): void {
    if (this.open) return;
    this.open = true;
    this.timer?.cancel();
    this.bringIntoForce();
  }

  private bringIntoForce(): void {
    const {board, site, logger, metrics} = this.options;
    const {version, value} = this.holder.latest;
    const before = board.config.get().extract()?.version ?? 0;
    if (version <= before) return;
    const stored = parseStoredConfig(value).extract();
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
