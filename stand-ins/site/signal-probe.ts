/** Preloaded module that tells the parent when the program handles signals. */

/** Message to the parent, sent when the program first handles SIGHUP. */
export interface SignalsHandled {
  /** Processor time since Node.js itself had started, in milliseconds. */
  readonly handledAfterCpuMs: number;
}

const US_PER_MS = 1_000;
const startUsage = process.cpuUsage();

function report(event: string | symbol): void {
  if (event !== 'SIGHUP') return;
  process.off('newListener', report);
  const {user, system} = process.cpuUsage(startUsage);
  const handledAfterCpuMs = (user + system) / US_PER_MS;
  process.send?.({handledAfterCpuMs} satisfies SignalsHandled);
}

process.on('newListener', report);
