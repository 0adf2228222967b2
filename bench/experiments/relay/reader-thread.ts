/** Reads many streams at once and records the gaps between their events. */
import {Agent, request} from 'node:http';
import {parentPort, workerData} from 'node:worker_threads';

import {DEMO_KEY} from '../../../tools/lab/caller.js';
import type {ReaderTask, ReaderReport} from './reader.js';

/** Time over which the starts of the streams are spread, in milliseconds. */
const RAMP_MS = 1_500;

/** Gaps before this are not counted because other streams still start. */
const WARM_UP_MS = 2_500;

const EVENT_MARK = 'data: {';
const END_MARK = 'data: [DONE]';

const order = workerData as ReaderTask;
const agent = new Agent({keepAlive: false, maxSockets: Infinity});
const gapsMs: number[] = [];
const startedAtMs = performance.now();
let broken = 0;

const readings = Array.from({length: order.streams}, (_, i) => start(i));
await Promise.all(readings);
const report: ReaderReport = {gapsMs, broken};
parentPort?.postMessage(report);

function start(index: number): Promise<void> {
  const delayMs = (RAMP_MS * index) / order.streams;
  return new Promise((resolve) => {
    setTimeout(() => read(index, resolve), delayMs);
  });
}

function read(index: number, onEnd: () => void): void {
  const url = order.urls[index % order.urls.length]!;
  const body = JSON.stringify({
    model: 'quote-writer',
    prompt: `${order.name} ${index} [length=${order.tokens}]`,
    max_tokens: order.tokens,
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
  let lastMs = 0;
  let ended = false;
  const finish = (): void => {
    if (!ended) broken++;
    onEnd();
  };
  req.on('error', finish);
  req.on('response', (res) => {
    res.setEncoding('utf8');
    res.on('data', (text: string) => {
      const nowMs = performance.now();
      ended ||= text.includes(END_MARK);
      if (!text.includes(EVENT_MARK)) return;
      const isWarm = nowMs - startedAtMs > WARM_UP_MS;
      if (lastMs > 0 && isWarm && !ended) gapsMs.push(nowMs - lastMs);
      lastMs = nowMs;
    });
    res.on('end', finish);
    res.on('error', () => undefined);
  });
  req.end(body);
}
