/** Notices that the settings file of a process has changed. */
import {readFile} from 'node:fs/promises';

import type {Result} from 'neverthrow';

import type {Clock, TimerHandle} from '../core/clock/index.js';
import type {Logger} from '../core/logs/index.js';
import type {DirectSettings} from '../core/settings/direct-settings.js';

/** How often the file is compared with what is in force, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/**
 * Reads the settings file anew on a signal, and when its text has changed
 * without one. A file that is wrong leaves the settings in force as they are.
 *
 * @example
 * const watch = new SettingsWatch({path, parse, onSettings, clock, logger});
 * watch.start();
 * process.on('SIGHUP', () => void watch.check());
 */
export class SettingsWatcher {
  private text?: string;
  private timer?: TimerHandle;

  constructor(
    private readonly options: {
      path: string;
      /** Decodes the text of the file; the error is one line. */
      parse: (text: string) => Result<DirectSettings, string>;
      onSettings: (settings: DirectSettings) => void;
      clock: Clock;
      logger: Logger;
    },
  ) {}

  start(): void {
    const {clock} = this.options;
    const run = () => void this.check();
    this.timer = clock.repeat({periodMs: CHECK_INTERVAL_MS, run});
  }

  stop(): void {
    this.timer?.cancel();
  }

  /** Compares the file with the text seen last. */
  async check(): Promise<void> {
    const {path, logger} = this.options;
    let text: string;
    try {
      text = await readFile(path, 'utf8');
    } catch (e) {
      const detail = e instanceof Error ? e.message : String(e);
      logger.warn('settings: cannot be read', {path, detail});
      return;
    }
    const isFirst = this.text === undefined;
    if (text === this.text) return;
    this.text = text;
    if (!isFirst) this.apply(text);
  }

  private apply(text: string): void {
    const {parse, onSettings, logger} = this.options;
    const settings = parse(text);
    if (settings.isErr()) {
      logger.error('settings: refused', {detail: settings.error});
      return;
    }
    logger.info('settings: taken over');
    onSettings(settings.value);
  }
}
