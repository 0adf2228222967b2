/** Waiting in the soak. */

/** Waits for a time in milliseconds. */
export function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

const PROBE_MS = 20;

/**
 * Measures how late timers of this process are; returns how to end it.
 *
 * @example
 * const stop = watchLag((lagMs) => console.log(lagMs));
 */
export function watchLag(onLag: (lagMs: number) => void): () => void {
  let lastMs = performance.now();
  const timer = setInterval(() => {
    const nowMs = performance.now();
    onLag(nowMs - lastMs - PROBE_MS);
    lastMs = nowMs;
  }, PROBE_MS);
  return () => clearInterval(timer);
}
