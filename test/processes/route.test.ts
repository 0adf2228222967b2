/** `plantainrill route` asked of a running direct entry. */
import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {Agent} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {request} from 'undici';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {SETTINGS_PATH_VARIABLE, StoreObjectKind} from '../../platform/names.js';
import {ExitStatus} from '../../src/cli/types.js';
import {bootFile, callersEndpointOf} from '../../stand-ins/site/boot-file.js';
import {
  API_KEY,
  HOST,
  SitePath,
  siteConfig,
  SiteService,
} from '../../stand-ins/site/config.js';
import {LocalCopyNetwork} from '../../stand-ins/site/copy-network.js';
import {StandInStore} from '../../stand-ins/site/store.js';
import {StandInTarget} from '../../stand-ins/site/target.js';
import {waitUntil} from '../../tools/lab/lab.js';
import {sendSiteRequest} from '../../tools/lab/site-caller.js';
import {runTool} from '../cli/lib/run-tool.js';

/** An address on which nothing else listens. */
const ADDRESS = '127.9.0.7';
const URL_OF_ENTRY = `http://${ADDRESS}:9464`;
const GRACE_PERIOD_S = 2;
const WRONG_KEY = 'a-key-that-no-log-has';

const ROUTE = ['route', '--operators', URL_OF_ENTRY, '--host', HOST];

describe('the route of a request at a running entry', () => {
  const store = new StandInStore();
  const agent = new Agent({keepAlive: true});
  const target = new StandInTarget({
    id: 'i-1',
    copyNetwork: new LocalCopyNetwork(),
  });
  let folder: string;
  let entry: ChildProcess;
  let log = '';

  beforeAll(async () => {
    await store.start();
    await target.start();
    folder = mkdtempSync(join(tmpdir(), 'route-'));
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
      stdio: ['ignore', 'pipe', 'inherit'],
      env: {...process.env, [SETTINGS_PATH_VARIABLE]: path},
    });
    entry.stdout!.on('data', (chunk: Buffer) => (log += chunk.toString()));
    await waitUntil({what: 'metrics are served', check: servesMetrics});
  });

  afterAll(async () => {
    entry.kill('SIGKILL');
    agent.destroy();
    target.crash();
    await store.stop();
    rmSync(folder, {recursive: true});
  });

  async function servesMetrics(): Promise<boolean> {
    const res = await request(`${URL_OF_ENTRY}/metrics`).catch(() => undefined);
    await res?.body.dump();
    return res?.statusCode === 200;
  }

  async function readMetrics(): Promise<string> {
    return (await request(`${URL_OF_ENTRY}/metrics`)).body.text();
  }

  /** Counters of requests, refusals, retries and permits. */
  function countersOf(text: string): string[] {
    return text.match(/^plantainrill_(requests|ref|ret|limit|queued).*$/gm)!;
  }

  it('is unknown before there is a configuration', async () => {
    const {status, err} = await runTool([...ROUTE, '--path', '/stock/1']);
    expect(status).toBe(ExitStatus.FAILED);
    expect(err).toContain('Not ready');
    const put = (kind: StoreObjectKind, name: string, spec: unknown) =>
      store.put({kind, name, spec: spec});
    put(StoreObjectKind.CONFIG, 'main', siteConfig({version: 3}));
    const place = {service: SiteService.DESK, zone: 'a'};
    put(StoreObjectKind.TARGETS, target.id, target.registration(place));
    const isServed = async () => {
      const res = await sendSiteRequest({
        ...callersEndpointOf(ADDRESS),
        agent,
        path: SitePath.SAFE,
        key: API_KEY,
        attemptId: 'served',
        deadlineMs: 1_000,
      }).catch(() => undefined);
      return res?.status === 200;
    };
    await waitUntil({what: 'the entry serves', check: isServed});
    const isReady = () => Promise.resolve(log.includes('"message":"ready"'));
    await waitUntil({what: 'the entry is ready', check: isReady});
  });

  it('is told, and neither target nor store sees anything', async () => {
    const arrivals = target.arrivedAtMs.length;
    const before = countersOf(await readMetrics());
    const reads = store.callCount();
    const written = log.length;
    const args = [...ROUTE, '--path', SitePath.SAFE];
    const table = await runTool([...args, '--account', 'account-a']);
    expect(table.status).toBe(ExitStatus.OK);
    expect(table.out).toMatch(/^configuration 3$/m);
    expect(table.out).toMatch(/^now +send$/m);
    expect(table.out).toMatch(/^> +i-1 +usable +a /m);
    const json = await runTool([...args, '--json'], undefined, {
      env: {PLANTAINRILL_KEY: API_KEY},
    });
    expect(JSON.parse(json.out)).toMatchObject({
      route: '/stock/',
      service: SiteService.DESK,
      clientAccount: 'account-a',
      decision: {outcome: 'send'},
      candidates: [{id: 'i-1', isChosen: true}],
    });
    const refused = await runTool([...args, '--key-stdin'], undefined, {
      input: `${WRONG_KEY}\n`,
    });
    expect(refused.out).toMatch(/refuse: unauthenticated, status 401/);
    const none = await runTool([...ROUTE, '--path', '/none/']);
    expect(none.out).toMatch(/^route +none matches$/m);
    const draft = await runTool([...ROUTE, '--path', SitePath.STREAM]);
    expect(draft.status).toBe(ExitStatus.OK);
    for (const {out} of [table, json, refused]) {
      expect(out).not.toContain(API_KEY);
      expect(out).not.toContain(WRONG_KEY);
    }
    expect(target.arrivedAtMs.length).toBe(arrivals);
    expect(countersOf(await readMetrics())).toEqual(before);
    // Only the reads that wait for changes go on by themselves.
    expect(store.callCount() - reads).toBeLessThanOrEqual(OWN_READS);
    expect(log.slice(written)).toBe('');
    expect(log).not.toContain(API_KEY);
  });

  it.each([
    {path: '/route', status: 400},
    {path: '/route?host=a&path=b', status: 400},
    {path: '/route?host=%E0%A4%A&path=/b', status: 400},
    {path: '/route?host=a&path=/b', status: 200},
    {path: '/routes', status: 404},
    {path: `/route?host=a&path=/${'b'.repeat(70_000)}`, status: 431},
  ])('answers $status to a question', async ({path, status}) => {
    const res = await request(`${URL_OF_ENTRY}${path}`);
    await res.body.dump();
    expect(res.statusCode).toBe(status);
  });

  it('is not told by another server', async () => {
    const url = store.url;
    const args = ['route', '--operators', url, '--host', HOST];
    const other = await runTool([...args, '--path', '/stock/1']);
    expect(other.status).toBe(ExitStatus.FAILED);
    const bad = await runTool([...ROUTE, '--path', 'stock']);
    expect(bad.status).toBe(ExitStatus.BAD_INPUT);
    expect(bad.err).toContain('slash');
    const args2 = ['route', '--operators', 'http://127.0.0.1:1'];
    const gone = await runTool([...args2, '--host', HOST, '--path', '/a']);
    expect(gone.err).toContain('Process unreachable');
  });
});

/** Reads for changes that may end by themselves; fewer than the questions. */
const OWN_READS = 4;
