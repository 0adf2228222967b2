/** Measures the memory of an entry while its callers come back at once. */
import {mkdtempSync, rmSync} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

import {SeededRandom} from '../../src/core/clock/index.js';
import {ReplayCallers} from './callers.js';
import {MAX_BODY_BYTES} from './consts.js';
import {readSharedMemoryMb} from './process-figures.js';
import type {ReplayEntry} from './replay-entry.js';
import {ReplaySite} from './site.js';
import {readSocketMemoryMb} from './socket-memory.js';

/** What callers do as soon as the entry listens again. */
export enum ReturningLoad {
  /** Callers that start one stream each. */
  STREAMS = 'streams',
  /** Callers that send one request and stay connected. */
  IDLE = 'idle',
  /** Callers that start streams and read nothing. */
  UNREAD = 'unread',
  /** Orders with the largest bodies. */
  BODIES = 'bodies',
}

const STREAMS = 300;
const IDLE = 3_000;
const UNREAD = 250;
const BODIES = 60;

/** Share of streams among the requests of callers that stay connected. */
const IDLE_STREAM_SHARE = 0.01;

const DOWN_MS = 500;
const HOLD_MS = 8_000;
const SETTLE_MS = 1_500;
const SAMPLE_MS = 50;
const LISTEN_POLL_MS = 10;

/** Largest memory of an entry under a load, in MB. */
export interface MemoryResult {
  readonly loads: readonly ReturningLoad[];
  /** Resident memory until a second after readiness, and at all. */
  readonly startPeakMb: number;
  readonly peakMb: number;
  readonly sharedPeakMb: number;
  /** Memory of the kernel for its sockets, and the sum at one moment. */
  readonly socketPeakMb: number;
  readonly sumPeakMb: number;
  readonly statuses: Readonly<Record<string, number>>;
  /** How it ended, if it did. */
  readonly end?: string;
}

/**
 * Kills and starts an entry and applies the loads from the moment it listens.
 *
 * @example
 * const {peakMb} = await measureMemory({root, loads: [ReturningLoad.IDLE]});
 */
export async function measureMemory(options: {
  root: string;
  loads: readonly ReturningLoad[];
}): Promise<MemoryResult> {
  const {root, loads} = options;
  const folder = mkdtempSync(join(tmpdir(), 'replay-memory-'));
  const site = new ReplaySite({root, folder, entryZones: ['a']});
  const callers = new ReplayCallers(site.entries, new SeededRandom(1));
  try {
    await site.start();
    await sleep(SETTLE_MS);
    const entry = site.entries[0]!;
    await entry.kill();
    await sleep(DOWN_MS);
    entry.start();
    const peaks = samplePeaks(entry);
    for (const load of loads) void apply(load, entry, callers);
    await sleep(HOLD_MS);
    await peaks.stop();
    const {startPeakMb, peakMb} = entry.lives.at(-1)!;
    const end = entry.isRunning ? undefined : JSON.stringify(entry.ends.at(-1));
    const figures = {startPeakMb, peakMb, ...peaks.figures};
    const rounded = Object.entries(figures).map(
      ([name, value]) => [name, Math.round(value)] as const,
    );
    return {
      loads,
      ...(Object.fromEntries(rounded) as typeof figures),
      statuses: Object.fromEntries(callers.statuses),
      end,
    };
  } finally {
    callers.stop();
    await site.close();
    rmSync(folder, {recursive: true});
  }
}

async function apply(
  load: ReturningLoad,
  entry: ReplayEntry,
  callers: ReplayCallers,
): Promise<void> {
  switch (load) {
    case ReturningLoad.STREAMS:
      callers.keepConnected(entry, {count: STREAMS, streamShare: 1});
      break;
    case ReturningLoad.IDLE:
      callers.keepConnected(entry, {
        count: IDLE,
        streamShare: IDLE_STREAM_SHARE,
      });
      break;
    case ReturningLoad.UNREAD:
      await untilListening(entry);
      await callers.streamUnread(entry, UNREAD, HOLD_MS);
      break;
    case ReturningLoad.BODIES:
      await untilReady(entry);
      callers.sendBodies(entry, BODIES, MAX_BODY_BYTES);
      break;
  }
}

async function untilListening(entry: ReplayEntry): Promise<void> {
  while (entry.isRunning && !(await isListening(entry)))
    await sleep(LISTEN_POLL_MS);
}

async function untilReady(entry: ReplayEntry): Promise<void> {
  while (entry.isRunning && entry.lives.at(-1)?.readyMs === undefined)
    await sleep(LISTEN_POLL_MS);
}

function isListening(entry: ReplayEntry): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(entry.endpoint);
    socket.on('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.on('error', () => resolve(false));
  });
}

function samplePeaks(entry: ReplayEntry) {
  const figures = {sharedPeakMb: 0, socketPeakMb: 0, sumPeakMb: 0};
  let isStopped = false;
  const sample = async () => {
    entry.sampleMemory();
    const socketMb = await readSocketMemoryMb(entry.options.address);
    const sharedMb = readSharedMemoryMb(entry.activePid ?? 0);
    figures.sharedPeakMb = Math.max(figures.sharedPeakMb, sharedMb);
    figures.socketPeakMb = Math.max(figures.socketPeakMb, socketMb);
    const sumMb = entry.rssMb + socketMb;
    figures.sumPeakMb = Math.max(figures.sumPeakMb, sumMb);
  };
  const run = async () => {
    while (!isStopped) {
      await sample();
      await sleep(SAMPLE_MS);
    }
  };
  const done = run();
  const stop = () => {
    isStopped = true;
    return done;
  };
  return {figures, stop};
}
