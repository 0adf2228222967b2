import type {TimerHandle} from './types.js';

/**
 * Lateness of a timer, in milliseconds, from which the event loop was blocked or
 * the process was not running.
 */
const MAX_LATENESS_MS = 5;

/**
 * Runs `run` once after `delayMs`. If the timer is late, data that arrived in
 * time may still be unread, as Node.js runs timers before it reads sockets. `run`
 * then waits until they have been read once, and is skipped if that cancels it.
 *
 * Answers the load of a process that was frozen or short of processor time: all
 * its time limits end at once, and each of its peers would seem silent.
 *
 * @example
 * const timer = scheduleTimer({delayMs: 120, run: giveUp});
 * socket.on('data', () => timer.cancel());
 */
export function scheduleTimer(options: {
  delayMs: number;
  run: () => void;
}): TimerHandle {
  const {delayMs, run} = options;
  const dueMs = performance.now() + delayMs;
  let afterReads: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    const latenessMs = performance.now() - dueMs;
    if (latenessMs <= MAX_LATENESS_MS) run();
    else afterReads = setImmediate(run);
  }, delayMs);
  return {
    cancel: () => {
      clearTimeout(timer);
      if (afterReads !== undefined) clearImmediate(afterReads);
    },
  };
}
