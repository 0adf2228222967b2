/** Entries and agents among clients that nobody controls. */
import {request} from 'undici';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {MessageType} from '../../src/core/protocol/index.js';
import {ClientAct, Crowd} from '../../tools/crowd/crowd.js';
import {formatRequest} from '../../tools/crowd/request-text.js';
import {DEMO_KEY} from '../../tools/lab/caller.js';
import {Site} from '../../tools/lab/site.js';
import {send} from '../support/callers.js';
import {BoundsWatch, LIMITS} from './support/process-bounds.js';
import {formatHello, formatMessage} from './support/texts.js';

const {SEND_AHEAD, SEND_ONCE} = ClientAct;

/** Listening ports of the site's entry and agent. */
enum Port {
  CALLERS = 'callers',
  ENTRY_OPERATORS = 'entry operators',
  ENTRY_PEERS = 'entry peers',
  AGENT_OPERATORS = 'agent operators',
  AGENT_PEERS = 'agent peers',
}

/** More connections than a process can have open. */
const MANY_CLIENTS = LIMITS.descriptors + 60;

const HOST = {host: 'site'};

const ASK_KEY = formatMessage({
  type: MessageType.ASK_KEY,
  callId: 'c1',
  clientAccount: 'crowd',
  key: 'k1',
  fingerprint: 'f1',
  promiseNever: false,
  waitMs: 0,
});

const CASES = [
  {
    what: 'no key, sent ahead',
    to: Port.CALLERS,
    act: SEND_AHEAD,
    text: formatRequest({path: '/services/stock/a', headers: HOST}),
  },
  {
    what: 'no route, sent ahead',
    to: Port.CALLERS,
    act: SEND_AHEAD,
    text: formatRequest({path: '/none', headers: HOST}),
  },
  {
    what: 'unknown keys and bodies, sent ahead',
    to: Port.CALLERS,
    act: SEND_AHEAD,
    text: formatRequest({
      method: 'POST',
      path: '/services/stock/a',
      headers: {...HOST, authorization: 'Bearer nobody'},
      body: 'x'.repeat(2_000),
    }),
  },
  {
    what: 'served calls, sent ahead',
    to: Port.CALLERS,
    act: SEND_AHEAD,
    text: formatRequest({
      path: '/services/stock/a',
      headers: {...HOST, authorization: `Bearer ${DEMO_KEY}`},
    }),
  },
  {
    what: 'more connections than descriptors',
    to: Port.CALLERS,
    act: SEND_ONCE,
    text: '',
    clients: MANY_CLIENTS,
  },
  ...[Port.ENTRY_OPERATORS, Port.AGENT_OPERATORS].flatMap((to) => [
    {
      what: 'ready path, sent ahead',
      to,
      act: SEND_AHEAD,
      text: formatRequest({path: '/readyz', headers: HOST}),
    },
    {
      what: 'metrics that are never read',
      to,
      act: SEND_AHEAD,
      text: formatRequest({path: '/metrics', headers: HOST}),
    },
    {
      what: 'more connections than descriptors',
      to,
      act: SEND_ONCE,
      text: '',
      clients: MANY_CLIENTS,
    },
  ]),
  ...[Port.ENTRY_PEERS, Port.AGENT_PEERS].map((to) => ({
    what: 'more connections than descriptors',
    to,
    act: SEND_ONCE,
    text: formatHello(),
    clients: MANY_CLIENTS,
  })),
  {
    what: 'keys asked, sent ahead',
    to: Port.AGENT_PEERS,
    act: SEND_AHEAD,
    opening: formatHello(),
    text: ASK_KEY,
  },
];

describe('a site with agents among clients that nobody controls', () => {
  let site: Site;
  let bounds: BoundsWatch[];
  let crowd: Crowd | undefined;

  beforeEach(async () => {
    site = await Site.create({
      entries: 1,
      engines: 0,
      stock: 1,
      limits: LIMITS,
    });
    const daemons = [site.entries[0]!, site.stock[0]!.agent];
    bounds = daemons.map(({proc}) => new BoundsWatch(proc));
  });

  afterEach(async () => {
    for (const watch of bounds) watch.stop();
    await crowd?.stop();
    await site.close();
  });

  function endpointOf(port: Port): {host: string; port: number} {
    const entry = site.entries[0]!;
    const {agent} = site.stock[0]!;
    const at = (url: string) => ({
      host: '127.0.0.1',
      port: Number(new URL(url).port),
    });
    switch (port) {
      case Port.CALLERS:
        return at(entry.callersUrl);
      case Port.ENTRY_OPERATORS:
        return at(entry.operatorsUrl);
      case Port.AGENT_OPERATORS:
        return at(agent.operatorsUrl);
      case Port.ENTRY_PEERS:
        return {host: '127.0.0.1', port: entry.peersPort};
      case Port.AGENT_PEERS:
        return {host: '127.0.0.1', port: agent.peersPort};
    }
  }

  async function lookUp(): Promise<number> {
    const {status} = await send({
      url: `${site.entries[0]!.callersUrl}/services/stock/stock/pumice`,
      method: 'GET',
      headers: {connection: 'close'},
    });
    return status;
  }

  async function askHealth(url: string): Promise<number> {
    const {statusCode, body} = await request(`${url}/healthz`, {reset: true});
    await body.dump();
    return statusCode;
  }

  // Guards against processes that clients end or stop from serving (CROWD).
  it.for(CASES)('lives and serves: $to, $what', async (row, {annotate}) => {
    crowd = await Crowd.play({...endpointOf(row.to), ...row});
    const served = await Promise.all([
      lookUp().catch(String),
      askHealth(site.entries[0]!.operatorsUrl).catch(String),
      askHealth(site.stock[0]!.agent.operatorsUrl).catch(String),
    ]);
    const peaks = bounds.map((watch) => watch.peaks).join('; ');
    await annotate(peaks);
    const trespasses = bounds.map((watch) => watch.trespasses());
    expect({trespasses, served}).toEqual({
      trespasses: [{}, {}],
      served: [200, 200, 200],
    });
  });
});
