/** Starts threads that read many streams. */
import {Worker} from 'node:worker_threads';

/** Streams that a reader thread reads. */
export interface ReaderTask {
  readonly urls: readonly string[];
  /** Part of every prompt. */
  readonly name: string;
  readonly streams: number;
  readonly tokens: number;
}

/** Measurements of a reader thread. */
export interface ReaderReport {
  readonly gapsMs: readonly number[];
  /** Number of streams that were refused or incomplete. */
  readonly incompleteStreams: number;
}

/** Starts a reader thread. Its only message is a `ReaderReport`. */
export function startReader(task: ReaderTask): Worker {
  const url = new URL('./reader-thread.js', import.meta.url);
  return new Worker(url, {workerData: task});
}
