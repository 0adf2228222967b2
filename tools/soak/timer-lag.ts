/** How late this process is. */

const PROBE_MS = 20;

/**
 * Measures how late timers of this process are; returns how to end it.
 *
 * @example
 * const stop = watchLag((lagMs) => console.log(lagMs));
 */
export function monitorTimerLag(onLag: (lagMs: number) => void): () => void {
  let lastMs = performance.now();
  const timer = setInterval(() => {
    const nowMs = performance.now();
    onLag(nowMs - lastMs - PROBE_MS);
    lastMs = nowMs;
  }, PROBE_MS);
  return () => clearInterval(timer);
}
