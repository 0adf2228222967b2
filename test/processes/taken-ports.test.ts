/** A direct entry that starts while a former process still has its ports. */
import type {Server} from 'node:net';
import {createServer} from 'node:net';

import {request} from 'undici';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {
  callersEndpointOf,
  readinessAddressOf,
} from '../../stand-ins/site/boot-file.js';
import {siteConfig} from '../../stand-ins/site/config.js';
import {StandInStore} from '../../stand-ins/site/store.js';
import {waitUntil} from '../../tools/lab/lab.js';
import {EntryProgram} from '../support/entry-program.js';

/** An address on which nothing else listens. */
const ADDRESS = '127.9.0.2';

const METRICS_PORT = 9_464;

/** Time for which a port stays taken, in milliseconds. */
const TAKEN_MS = 1_500;

const CASES = [
  {what: 'callers', port: callersEndpointOf(ADDRESS).port},
  {
    what: 'readiness',
    port: Number(readinessAddressOf(ADDRESS).split(':').at(-1)),
  },
  {what: 'metrics', port: METRICS_PORT},
];

describe('a direct entry', () => {
  let store: StandInStore;
  let entry: EntryProgram;
  let holder: Server;

  beforeEach(async () => {
    store = new StandInStore();
    await store.start();
    const spec = siteConfig({version: 1});
    store.put({kind: StoreObjectKind.CONFIG, name: 'main', spec});
    entry = new EntryProgram({
      address: ADDRESS,
      store: new URL(store.url).host,
    });
  });

  afterEach(async () => {
    await entry.stop();
    holder.close();
    await store.stop();
  });

  // Guards against processes that end as a former one still has a port (FAULT).
  it.each(CASES)('waits for a taken port of $what', async ({port}) => {
    holder = createServer();
    await new Promise<void>((resolve) => {
      holder.listen(port, ADDRESS, resolve);
    });
    entry.start();
    await new Promise((resolve) => setTimeout(resolve, TAKEN_MS));
    expect(entry.end).toBeUndefined();
    holder.close();
    await waitUntil({what: 'it is ready', check: () => entry.isReady()});
    await waitUntil({
      what: 'metrics are served',
      check: async () => {
        const url = `http://${ADDRESS}:${METRICS_PORT}/metrics`;
        const {statusCode, body} = await request(url, {reset: true});
        await body.dump();
        return statusCode === 200;
      },
    });
    expect(entry.end).toBeUndefined();
  });
});
