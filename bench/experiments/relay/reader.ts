/** Starts threads that read many streams. */
import {Worker} from 'node:worker_threads';

/** What a reader has to read. */
export interface ReaderTask {
  readonly urls: readonly string[];
  /** Part of every prompt. */
  readonly name: string;
  readonly streams: number;
  readonly tokens: number;
}

/** What a reader saw. */
export interface ReaderReport {
  readonly gapsMs: readonly number[];
  /** Answers that were refused or not whole. */
  readonly broken: number;
}

/** Starts a thread; its one message is a ReaderReport. */
export function startReader(order: ReaderTask): Worker {
  const url = new URL('./reader-thread.js', import.meta.url);
  return new Worker(url, {workerData: order});
}
