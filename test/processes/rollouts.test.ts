/** Roll-outs of a bad version at real entries, one of which falls behind. */
import {Agent} from 'node:http';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {callersEndpointOf} from '../../stand-ins/site/boot-file.js';
import {
  API_KEY,
  SitePath,
  SiteService,
  siteConfig,
} from '../../stand-ins/site/config.js';
import {LocalCopyNetwork} from '../../stand-ins/site/copy-network.js';
import type {StoreEndpoint} from '../../stand-ins/site/store.js';
import {StandInStore, StoreMode} from '../../stand-ins/site/store.js';
import {StandInTarget} from '../../stand-ins/site/target.js';
import {waitUntil} from '../../tools/lab/lab.js';
import {sendSiteRequest} from '../../tools/lab/site-caller.js';
import {EntryProgram} from '../support/entry-program.js';

/** Addresses on which nothing else listens. */
const ADDRESSES = ['127.9.6.1', '127.9.6.2', '127.9.6.3'];

const SHARE = 0.1;
const SLACK = 50;
const ROLLBACK_MS = 5_000;
const BOUNDS = {
  exposure_share: SHARE,
  exposure_slack: SLACK,
  rollback_ms: ROLLBACK_MS,
};

const CALL_GAP_MS = 10;
const BEHIND_MS = 6_000;
const FAILURE_SHARE = 0.4;
const SERVICE = SiteService.DESK;
const {CONFIG, ROLLOUTS, TARGETS} = StoreObjectKind;

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

describe('a bad version', () => {
  let store: StandInStore;
  let endpoints: StoreEndpoint[];
  let entries: EntryProgram[];
  let targets: StandInTarget[];
  let agents: Agent[];
  let timer: NodeJS.Timeout;
  let calls = 0;

  beforeEach(async () => {
    store = new StandInStore();
    await store.start();
    store.put({kind: CONFIG, name: 'main', spec: siteConfig({version: 1})});
    targets = [];
    endpoints = [];
    entries = [];
    await addTargets('v1');
    for (const [i, address] of ADDRESSES.entries()) {
      const endpoint = await store.openEndpoint();
      endpoints.push(endpoint);
      const {host} = new URL(endpoint.url);
      const more = {bounds: BOUNDS, contracts: ['rollout']};
      const name = `entry-${i + 1}`;
      const entry = new EntryProgram({address, store: host, name, ...more});
      entry.start();
      entries.push(entry);
    }
    for (const entry of entries)
      await waitUntil({what: 'ready', check: () => entry.isReady()});
    agents = ADDRESSES.map(() => new Agent({keepAlive: true, maxSockets: 30}));
    timer = setInterval(call, CALL_GAP_MS);
  });

  afterEach(async () => {
    clearInterval(timer);
    for (const agent of agents) agent.destroy();
    for (const entry of entries) await entry.stop();
    for (const target of targets) target.crash();
    await store.stop();
  });

  const call = () => {
    const i = calls++ % ADDRESSES.length;
    void sendSiteRequest({
      ...callersEndpointOf(ADDRESSES[i]!),
      agent: agents[i]!,
      path: calls % 2 === 0 ? SitePath.SAFE : SitePath.UNSAFE,
      key: API_KEY,
      attemptId: `try-${calls}`,
      deadlineMs: 4_000,
    }).catch(() => undefined);
  };

  const addTargets = async (version: string, failureShare = 0) => {
    for (let i = 0; i < 4; i++) {
      const id = `${version}-${i}`;
      const copyNetwork = new LocalCopyNetwork();
      const options = {id, copyNetwork, workMs: 10, version};
      const target = new StandInTarget(options);
      await target.start();
      target.failureShare = failureShare;
      targets.push(target);
      const zone = i % 2 === 0 ? 'a' : 'b';
      const spec = target.registration({service: SERVICE, zone});
      store.put({kind: TARGETS, name: id, spec});
    }
  };

  const runsOf = (version: string, sinceMs = 0) =>
    targets
      .filter(({id}) => id.startsWith(version))
      .flatMap(({runs}) => runs.filter(({atMs}) => atMs >= sinceMs)).length;

  const state = () =>
    (store.statusOf(ROLLOUTS, SERVICE) as {state: string} | undefined)?.state;

  const BEHIND = [
    {
      name: 'that is paused',
      fallBehind: () => entries[2]!.signal('SIGSTOP'),
      comeBack: () => entries[2]!.signal('SIGCONT'),
    },
    {
      name: 'that the store alone turns away',
      fallBehind: () => (endpoints[2]!.mode = StoreMode.BUSY),
      comeBack: () => (endpoints[2]!.mode = StoreMode.UP),
    },
  ];

  it.each(BEHIND)(
    'gets no more than the bound from an entry $name for 6 s',
    async ({fallBehind, comeBack}) => {
      const spec = {service: SERVICE, target: 'v2', duration_s: 14};
      store.put({kind: ROLLOUTS, name: SERVICE, spec});
      await pause(300);
      const startedCalls = calls;
      await addTargets('v2', FAILURE_SHARE);
      const check = () => Promise.resolve(runsOf('v2') >= 3);
      await waitUntil({what: 'the version is met', check});
      fallBehind();
      await pause(BEHIND_MS);
      expect(state()).toBe('rolled_back');
      const backMs = performance.now();
      comeBack();
      await pause(3_000);
      expect(runsOf('v2', backMs)).toBe(0);
      const bound = (calls - startedCalls) * SHARE + SLACK;
      expect(runsOf('v2')).toBeLessThanOrEqual(bound);
      expect(runsOf('v1', backMs)).toBeGreaterThan(50);
    },
  );
});
