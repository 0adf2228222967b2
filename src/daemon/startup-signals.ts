/** Signal handlers for a process that is still starting. */

/** The part of `process` that the handlers use. */
export interface SignalSource {
  on(signal: NodeJS.Signals, run: () => void): unknown;
  off(signal: NodeJS.Signals, run: () => void): unknown;
  exit(status: number): void;
}

/**
 * Replaces the default signal actions, which would end a starting process with
 * a failure. SIGTERM exits with status 0, as no work has to be finished; SIGHUP
 * is ignored, as the settings are yet to be read. Returns a function that
 * removes the handlers.
 *
 * @example
 * const removeHandlers = handleStartupSignals(process);
 */
export function handleStartupSignals(source: SignalSource): () => void {
  const stop = () => source.exit(0);
  const ignore = () => undefined;
  source.on('SIGTERM', stop);
  source.on('SIGHUP', ignore);
  return () => {
    source.off('SIGTERM', stop);
    source.off('SIGHUP', ignore);
  };
}
