/** A direct entry whose log pipe is not read. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {Agent} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {request} from 'undici';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {SETTINGS_PATH_VARIABLE, StoreObjectKind} from '../../platform/names.js';
import {bootFile, callersEndpointOf} from '../../stand-ins/site/boot-file.js';
import {SitePath, siteConfig} from '../../stand-ins/site/config.js';
import {StandInStore} from '../../stand-ins/site/store.js';
import {waitUntil} from '../../tools/lab/lab.js';
import {sendSiteRequest} from '../../tools/lab/site-caller.js';

/** An address on which nothing else listens. */
const ADDRESS = '127.9.0.1';
const METRICS_URL = `http://${ADDRESS}:9464/metrics`;
const GRACE_PERIOD_S = 2;

/** Each refusal logs a line with its id: far more than the pipe buffers. */
const REFUSALS = 900;
const ID_LENGTH = 2_000;

/** A request that waited for the log would never get a response. */
const MAX_LATENCY_MS = 1_000;

describe('a direct entry whose log is not read', () => {
  const store = new StandInStore();
  const agent = new Agent({keepAlive: true, maxSockets: 1});
  let folder: string;
  let entry: ChildProcess;

  beforeEach(async () => {
    await store.start();
    const spec = siteConfig({version: 1});
    store.put({kind: StoreObjectKind.CONFIG, name: 'main', spec});
    folder = mkdtempSync(join(tmpdir(), 'direct-logs-'));
    const path = join(folder, 'boot.json');
    const settings = bootFile({
      name: 'entry-1',
      address: ADDRESS,
      zone: 'a',
      store: new URL(store.url).host,
      bounds: {grace_s: GRACE_PERIOD_S},
    });
    writeFileSync(path, JSON.stringify(settings));
    entry = spawn(process.execPath, ['dist/src/daemon/direct-main.js'], {
      // Nothing reads from this pipe.
      stdio: ['ignore', 'pipe', 'inherit'],
      env: {...process.env, [SETTINGS_PATH_VARIABLE]: path},
    });
    await waitUntil({what: 'the entry responds', check: isResponsive});
  });

  afterEach(async () => {
    entry.kill('SIGKILL');
    agent.destroy();
    await store.stop();
    rmSync(folder, {recursive: true});
  });

  async function sendRefused(requestNumber: number): Promise<number> {
    const startMs = performance.now();
    const response = await sendSiteRequest({
      ...callersEndpointOf(ADDRESS),
      agent,
      path: SitePath.SAFE,
      key: 'no key of ours',
      attemptId: `${requestNumber}-`.padEnd(ID_LENGTH, 'x'),
      deadlineMs: 1_000,
    });
    expect(response.status).toBe(401);
    return performance.now() - startMs;
  }

  async function isResponsive(): Promise<boolean> {
    return (await sendRefused(0)) < MAX_LATENCY_MS;
  }

  it('delays no request, counts dropped lines and shuts down gracefully', async () => {
    let longestMs = 0;
    for (let number = 1; number <= REFUSALS; number++) {
      longestMs = Math.max(longestMs, await sendRefused(number));
    }
    expect(longestMs).toBeLessThan(MAX_LATENCY_MS);
    expect(entry.stdout?.readableFlowing).toBeNull();

    const metrics = await (await request(METRICS_URL)).body.text();
    const dropped = /^plantainrill_log_lines_dropped\S* (\d+)$/m.exec(metrics);
    expect(Number(dropped?.[1])).toBeGreaterThan(0);

    const exited = once(entry, 'exit');
    entry.kill('SIGTERM');
    expect(await exited).toEqual([0, null]);
  });
});
