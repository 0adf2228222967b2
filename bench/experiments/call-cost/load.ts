/** Callers that load an entry, and the stand-ins behind it. */
import {Agent} from 'node:http';

import {StoreObjectKind} from '../../../platform/names.js';
import type {SitePath} from '../../../stand-ins/site/config.js';
import {
  API_KEY,
  siteConfig,
  SiteService,
} from '../../../stand-ins/site/config.js';
import {LocalCopyNetwork} from '../../../stand-ins/site/copy-network.js';
import {StandInStore} from '../../../stand-ins/site/store.js';
import {StandInTarget} from '../../../stand-ins/site/target.js';
import {sendSiteRequest} from '../../../tools/lab/site-caller.js';

const DEADLINE_MS = 20_000;

/** Targets of each service. */
const TARGETS = 4;

/** Events of each stream, which last at least so many milliseconds. */
export const EVENTS = 150;

/** Callers, each on a connection of its own. */
const CALLERS = 12;

/** Starts a store and targets that answer at once. */
export async function startSite(): Promise<StandInStore> {
  const store = new StandInStore();
  await store.start();
  const spec = siteConfig({version: 1, streamTimeoutMs: DEADLINE_MS});
  store.put({kind: StoreObjectKind.CONFIG, name: 'main', spec});
  for (let i = 0; i < TARGETS; i++) {
    await startTarget(store, {service: SiteService.DESK, i, events: 0});
    await startTarget(store, {service: SiteService.WRITERS, i, events: EVENTS});
  }
  return store;
}

async function startTarget(
  store: StandInStore,
  options: {service: SiteService; i: number; events: number},
): Promise<void> {
  const {service, i, events} = options;
  const id = `${service}-${i}`;
  const pace = {events, firstMs: 0, gapMs: 1};
  const copyNetwork = new LocalCopyNetwork();
  const target = new StandInTarget({id, copyNetwork, pace});
  await target.start();
  const spec = target.registration({service, zone: 'a'});
  store.put({kind: StoreObjectKind.TARGETS, name: id, spec});
}

/**
 * Sends requests over a few connections, one at a time on each.
 *
 * @example
 * const load = new Load(entry.endpoint);
 * await load.run({path: SitePath.SAFE, requests: 1_000});
 */
export class Load {
  private readonly agents = Array.from(
    {length: CALLERS},
    () => new Agent({keepAlive: true, maxSockets: 1}),
  );
  private sent = 0;

  constructor(private readonly endpoint: {host: string; port: number}) {}

  /** Resolves once all have their responses; rejects if one failed. */
  async run(options: {path: SitePath; requests: number}): Promise<void> {
    const {path, requests} = options;
    const last = this.sent + requests;
    const call = async (agent: Agent) => {
      while (this.sent < last) await this.send(path, agent);
    };
    await Promise.all(this.agents.map(call));
  }

  private async send(path: SitePath, agent: Agent): Promise<void> {
    const attemptId = `call-${++this.sent}`;
    const {status, isComplete, text} = await sendSiteRequest({
      ...this.endpoint,
      agent,
      path,
      key: API_KEY,
      attemptId,
      deadlineMs: DEADLINE_MS,
      body: `request ${attemptId}`,
    });
    if (status !== 200 || !isComplete)
      throw new Error(`${path}: status ${status}, ${text}`);
  }
}
