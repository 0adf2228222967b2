/** Measures the timer lag of this process. */

const INTERVAL_MS = 20;

/**
 * Reports the delay of a periodic timer; returns a function that stops it.
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
