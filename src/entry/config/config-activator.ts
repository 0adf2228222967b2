/** Activates the highest configuration version that this entry received. */
import {Just} from 'purify-ts';

import type {Clock, TimerHandle} from '../../core/clock/index.js';
import type {ConfigUpdate} from '../../core/config/distribution/index.js';
import {ConfigHolder} from '../../core/config/distribution/index.js';
import {resolveSiteConfig, parseStoredConfig} from '../../core/config/index.js';
import type {Logger} from '../../core/logs/index.js';
import type {Metrics} from '../../core/metrics/index.js';
import {CounterName} from '../../core/metrics/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {TaskName} from '../../core/supervision/index.js';
import {ACTIVATION_RETRY_MS, INITIAL_PEER_WAIT_MS} from '../consts.js';
import type {EntryBoard} from '../entry-board.js';

/**
 * Keeps the highest version and writes it to the board. A version received
 * from a peer is activated only after the platform has responded, or after
 * `INITIAL_PEER_WAIT_MS`, in which several peers can send theirs.
 */
export class ConfigActivator {
  readonly holder = new ConfigHolder();
  private isActivationAllowed = false;
  private timer: TimerHandle | undefined;

  constructor(
    private readonly options: {
      board: EntryBoard;
      clock: Clock;
      site: string;
      metrics: Metrics;
      logger: Logger;
      supervisor: Supervisor;
    },
  ) {}

  start(): void {
    this.timer = this.options.clock.schedule({
      delayMs: INITIAL_PEER_WAIT_MS,
      run: () => this.allowActivation(),
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

  /** Handles a version read from the platform, which also confirms it. */
  receiveFromPlatform(update: ConfigUpdate): void {
    const isNew = this.holder.offer(update);
    if (update.version >= this.holder.version) this.recordConfirmation(0);
    this.allowActivation();
    if (isNew) this.activateOrRetry();
  }

  /** Handles a peer's version, which the platform confirmed `ageMs` ago. */
  receiveFromPeer(update: ConfigUpdate, ageMs: number): void {
    const isNew = this.holder.offer(update);
    if (update.version >= this.holder.version) this.recordConfirmation(ageMs);
    if (isNew && this.isActivationAllowed) this.activateOrRetry();
  }

  /** Records that the platform confirmed the held version `ageMs` ago. */
  recordConfirmation(ageMs: number): void {
    const {board, clock} = this.options;
    const confirmedAtMs = clock.now() - ageMs;
    board.configConfirmedAtMs.set(
      Math.max(board.configConfirmedAtMs.get(), confirmedAtMs),
    );
  }

  private allowActivation(): void {
    if (this.isActivationAllowed) return;
    this.isActivationAllowed = true;
    this.activateOrRetry();
  }

  /** A failed activation is repeated, as no other event would cause it. */
  private activateOrRetry(): void {
    const {clock, supervisor} = this.options;
    this.timer?.cancel();
    const onFailure = () => {
      this.timer = clock.schedule({
        delayMs: ACTIVATION_RETRY_MS,
        run: () => this.activateOrRetry(),
      });
    };
    supervisor.run({name: TaskName.CONFIG, onFailure}, () => this.activate());
  }

  private activate(): void {
    const {board, site, logger, metrics} = this.options;
    const {version, value} = this.holder.latest;
    const before = board.config.get().extract()?.version ?? 0;
    if (version <= before) return;
    const stored = parseStoredConfig(value).extract();
    if (stored === undefined) {
      logger.error('stored configuration not activated: unknown format', {
        version,
      });
      return;
    }
    resolveSiteConfig({document: stored.document, site}).match(
      (cfg) => {
        board.config.set(Just({version, cfg}));
        metrics.count(CounterName.CONFIG_CHANGES);
        logger.info('configuration activated', {version, before});
      },
      (err) =>
        logger.error('configuration rejected: active version unchanged', {
          detail: err.detail,
        }),
    );
  }
}
