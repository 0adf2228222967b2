/** Reads many streams at once and records the gaps between their events. */
import {Agent, request} from 'node:http';
import {parentPort, workerData} from 'node:worker_threads';

import {DEMO_KEY} from '../../../tools/lab/caller.js';
import type {ReaderTask, ReaderReport} from './reader.js';

/** Time over which the starts of the streams are spread, in milliseconds. */
const RAMP_MS = 1_500;

/** Gaps before this time are not counted because other streams still start. */
const WARM_UP_MS = 2_500;

const EVENT_MARK = 'data: {';
const END_MARK = 'data: [DONE]';

const task = workerData as ReaderTask;
const agent = new Agent({keepAlive: false, maxSockets: Infinity});
const gapsMs: number[] = [];
const startedAtMs = performance.now();
let incompleteStreams = 0;

const readings = Array.from({length: task.streams}, (_, i) => startStream(i));
await Promise.all(readings);
const report: ReaderReport = {gapsMs, incompleteStreams};
parentPort?.postMessage(report);

function startStream(index: number): Promise<void> {
  const delayMs = (RAMP_MS * index) / task.streams;
  return new Promise((resolve) => {
    setTimeout(() => readStream(index, resolve), delayMs);
  });
}

function readStream(index: number, onEnd: () => void): void {
  const url = task.urls[index % task.urls.length]!;
  const body = JSON.stringify({
    model: 'quote-writer',
    prompt: `${task.name} ${index} [length=${task.tokens}]`,
    max_tokens: task.tokens,
    stream: true,
  });
  const req = request(`${url}/v1/completions`, {
    method: 'POST',
    agent,
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${DEMO_KEY}`,
    },
  });
  let lastEventAtMs = 0;
  let isDone = false;
  const finish = (): void => {
    if (!isDone) incompleteStreams++;
    onEnd();
  };
  req.on('error', finish);
  req.on('response', (res) => {
    res.setEncoding('utf8');
    res.on('data', (text: string) => {
      const nowMs = performance.now();
      isDone ||= text.includes(END_MARK);
      if (!text.includes(EVENT_MARK)) return;
      const isWarm = nowMs - startedAtMs > WARM_UP_MS;
      if (lastEventAtMs > 0 && isWarm && !isDone)
        gapsMs.push(nowMs - lastEventAtMs);
      lastEventAtMs = nowMs;
    });
    res.on('end', finish);
    res.on('error', () => undefined);
  });
  req.end(body);
}
