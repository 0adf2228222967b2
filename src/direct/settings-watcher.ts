/** Watches the settings file of a process for changes. */
import {readFile} from 'node:fs/promises';

import type {Result} from 'neverthrow';

import type {Clock, TimerHandle} from '../core/clock/index.js';
import type {Logger} from '../core/logs/index.js';
import type {DirectSettings} from '../core/settings/direct-settings.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';

/** Interval at which the file is checked for changes, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000;

/**
 * Applies the settings file when its text has changed. The file is checked at
 * the start, at a fixed interval, and at once by `check`, as on a signal. An
 * invalid or unreadable file leaves the active settings unchanged.
 *
 * @example
 * const options = {path, text, parse, onSettings, clock, logger, supervisor};
 * const watcher = new SettingsWatcher(options);
 * watcher.start();
 * process.on('SIGHUP', () => watcher.check());
 */
export class SettingsWatcher {
  private text: string;
  private timer?: TimerHandle;
  private isReading = false;
  /** Whether the file may have changed since the last read began. */
  private isStale = false;

  constructor(
    private readonly options: {
      path: string;
      /** Text from which the active settings were read. */
      text: string;
      /** Decodes the text of the file; the error is one line. */
      parse: (text: string) => Result<DirectSettings, string>;
      onSettings: (settings: DirectSettings) => void;
      clock: Clock;
      logger: Logger;
      supervisor: Supervisor;
    },
  ) {
    this.text = options.text;
  }

  start(): void {
    const run = () => this.check();
    this.timer = this.options.clock.repeat({periodMs: CHECK_INTERVAL_MS, run});
    this.check();
  }

  stop(): void {
    this.timer?.cancel();
  }

  /**
   * Reads the file again without waiting for the end. While it is read, further
   * calls lead to one more read together.
   */
  check(): void {
    this.isStale = true;
    if (this.isReading) return;
    const task = {name: TaskName.SETTINGS};
    this.options.supervisor.run(task, () => this.readWhileStale());
  }

  private async readWhileStale(): Promise<void> {
    this.isReading = true;
    try {
      while (this.isStale) {
        this.isStale = false;
        await this.readAgain();
      }
    } finally {
      this.isReading = false;
    }
  }

  /**
   * Applies the file if its text differs from the one that was read last;
   * resolves once that is done.
   */
  async readAgain(): Promise<void> {
    const {path, logger} = this.options;
    let text: string;
    try {
      text = await readFile(path, 'utf8');
    } catch (e) {
      const detail = e instanceof Error ? e.message : String(e);
      logger.warn('settings file not readable, settings unchanged', {
        path,
        detail,
      });
      return;
    }
    if (text === this.text) return;
    this.apply(text);
    // After an exception the next check applies it.
    this.text = text;
  }

  private apply(text: string): void {
    const {parse, onSettings, logger} = this.options;
    const settings = parse(text);
    if (settings.isErr()) {
      logger.error('settings file invalid, settings unchanged', {
        detail: settings.error,
      });
      return;
    }
    logger.info('settings file changed, settings applied');
    onSettings(settings.value);
  }
}
