/** Signal handlers for a process that is still starting. */

/** The part of `process` that the handlers use. */
export interface SignalSource {
  on(signal: NodeJS.Signals, run: () => void): unknown;
  off(signal: NodeJS.Signals, run: () => void): unknown;
  exit(status: number): void;
}

/** Signals that end a process as planned. */
const STOP_SIGNALS: readonly NodeJS.Signals[] = ['SIGTERM', 'SIGINT'];

/**
 * Replaces the default signal actions, which would end a starting process with
 * a failure. SIGTERM and SIGINT exit with status 0, as no work has to be
 * finished; SIGHUP is counted, as the settings are yet to be read.
 *
 * The first file of a program creates it, before it loads any other module.
 *
 * @example
 * const startupSignals = new StartupSignals(process);
 * import('./run-direct.js').then(({runDirect}) => runDirect(startupSignals));
 */
export class StartupSignals {
  /** SIGHUPs that have arrived so far. */
  reloads = 0;
  private readonly stop = () => this.source.exit(0);
  private readonly countReload = () => {
    this.reloads++;
  };

  constructor(private readonly source: SignalSource) {
    for (const signal of STOP_SIGNALS) source.on(signal, this.stop);
    source.on('SIGHUP', this.countReload);
  }

  /** Removes the handlers; call it once the process handles signals itself. */
  remove(): void {
    const {source} = this;
    for (const signal of STOP_SIGNALS) source.off(signal, this.stop);
    source.off('SIGHUP', this.countReload);
  }
}
