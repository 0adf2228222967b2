/** Measures how late timers of this process fire. */

const INTERVAL_MS = 20;

/**
 * Calls `onLag` with the delay of a periodic timer each time it fires. Returns
 * a function that stops the timer.
 *
 * @example
 * const stop = monitorTimerLag((lagMs) => console.log(lagMs));
 */
export function monitorTimerLag(onLag: (lagMs: number) => void): () => void {
  let lastMs = performance.now();
  const timer = setInterval(() => {
    const nowMs = performance.now();
    onLag(nowMs - lastMs - INTERVAL_MS);
    lastMs = nowMs;
  }, INTERVAL_MS);
  return () => clearInterval(timer);
}
