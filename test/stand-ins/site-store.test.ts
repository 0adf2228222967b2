/** Tests that the stand-in of the platform's store survives aborted writes. */
import {once} from 'node:events';
import {connect} from 'node:net';

import {afterEach, beforeEach, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {StoreSource} from '../../platform/store-client.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {StandInStore} from '../../stand-ins/site/store.js';

let store: StandInStore;

beforeEach(async () => {
  store = new StandInStore();
  await store.start();
});

afterEach(() => store.stop());

it.each(['POST', 'PUT'])(
  'survives a %s whose connection is reset within the body',
  async (method) => {
    const {hostname, port} = new URL(store.url);
    const socket = connect({host: hostname, port: Number(port)});
    await once(socket, 'connect');
    const head = `${method} /-/objects/${StoreObjectKind.LOSSES} HTTP/1.1\r\nHost: x\r\n`;
    socket.write(`${head}Content-Length: 100\r\n\r\n{"metadata"`);
    await new Promise((resolve) => setTimeout(resolve, 50));
    socket.resetAndDestroy();
    // An unhandled rejection of the write would have ended the process by now.
    await new Promise((resolve) => setTimeout(resolve, 50));
    const {url} = store;
    const source = new StoreSource({
      url,
      kind: StoreObjectKind.LOSSES,
      metrics: new Metrics(),
    });
    const list = await source.list();
    expect(list._unsafeUnwrap().items).toEqual([]);
  },
);
