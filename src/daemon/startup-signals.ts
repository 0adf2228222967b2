/** What signals do to a process that is still starting. */

/** The part of `process` that the guard uses. */
export interface SignalSource {
  on(signal: NodeJS.Signals, run: () => void): unknown;
  off(signal: NodeJS.Signals, run: () => void): unknown;
  exit(status: number): void;
}

/**
 * Keeps signals from ending a process that is still starting: it has nothing
 * to finish, so it stops as planned on SIGTERM, and it has yet to read its
 * settings, so SIGHUP changes nothing. Returns how to lift the guard.
 *
 * @example
 * const lift = guardStart(process);
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
