/** An entry on the platform among clients that nobody controls. */
import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {PermitNeed} from '../../src/core/limits/types.js';
import {MessageType} from '../../src/core/protocol/index.js';
import {API_KEY, HOST, SitePath} from '../../stand-ins/site/config.js';
import {ClientAct, Crowd} from '../../tools/crowd/crowd.js';
import {formatRequest} from '../../tools/crowd/request-text.js';
import {EntryPort, LimitedEntrySite} from './support/limited-entry-site.js';
import {LIMITS} from './support/process-bounds.js';
import {formatHello, formatMessage} from './support/texts.js';

const {DRIP, HALF_CLOSE, SEND_AHEAD, SEND_ONCE, SIP} = ClientAct;
const {FRONTEND, METRICS, PEERS, READINESS} = EntryPort;

const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** More connections than the entry can have open. */
const MANY_CLIENTS = LIMITS.descriptors + 60;

/** Clients at ports whose answers are small. */
const OTHER_PORT_CLIENTS = 80;

const USUAL = {
  Host: HOST,
  Authorization: `Token ${API_KEY}`,
  'Attempt-Id': 'crowd',
  'Deadline-Ms': '1000',
};

const UNKNOWN_KEY = {...USUAL, Authorization: 'Token nobody'};

const READY = formatRequest({path: '/-/readyz', headers: {Host: HOST}});
const NO_ROUTE = formatRequest({path: '/none/1', headers: {Host: HOST}});
const SCRAPE = formatRequest({path: '/metrics', headers: {Host: HOST}});
const ORDER = {method: 'POST', path: SitePath.UNSAFE, headers: USUAL};
const STREAM = formatRequest({...ORDER, path: SitePath.STREAM, body: 'x'});
const CHUNKED = {...USUAL, 'Transfer-Encoding': 'chunked'};

const ASK_PERMIT = formatMessage({
  type: MessageType.ASK_PERMIT,
  askId: 1,
  target: 'none',
  heardAgoMs: 0,
  need: PermitNeed.OPTIONAL,
  perSecond: undefined,
  priority: 1,
  clientAccount: 'a',
});

const WATCH = formatMessage({
  type: MessageType.WATCH,
  watchId: 1,
  kind: 'config',
  since: 0,
  epoch: undefined,
  waitMs: 1_000,
});

/** Parts of a prompt in some 15 KB. */
const PROMPT_PARTS = 3_900;

/** Heads that announce a body, which does not come. */
const NO_BODY = {...UNKNOWN_KEY, 'Content-Length': '100'};

const CASES = [
  // Guards against headers that are decoded into many objects (review/15).
  {
    what: 'long prompts without bodies on many connections',
    to: FRONTEND,
    act: SEND_ONCE,
    text: formatRequest({
      ...ORDER,
      headers: {...NO_BODY, 'Prefix-Hash': 'a:1,'.repeat(PROMPT_PARTS) + 'b:1'},
    }),
    clients: MANY_CLIENTS,
  },
  {
    what: 'served route without the usual headers, sent ahead',
    to: FRONTEND,
    act: SEND_AHEAD,
    text: formatRequest({path: SitePath.SAFE, headers: {Host: HOST}}),
  },
  {
    what: 'served route with a key and without an id, sent ahead',
    to: FRONTEND,
    act: SEND_AHEAD,
    text: formatRequest({
      path: SitePath.SAFE,
      headers: {Host: HOST, Authorization: USUAL.Authorization},
    }),
  },
  {
    what: 'served route with all headers, sent ahead',
    to: FRONTEND,
    act: SEND_AHEAD,
    text: formatRequest({...ORDER, path: SitePath.SAFE, method: 'GET'}),
  },
  {
    what: 'no Host, sent ahead',
    to: FRONTEND,
    act: SEND_AHEAD,
    text: formatRequest({path: SitePath.SAFE}),
  },
  {
    what: 'ready path of the frontend, sent ahead',
    to: FRONTEND,
    act: SEND_AHEAD,
    text: READY,
  },
  {
    what: 'ready path of the readiness port, sent ahead',
    to: READINESS,
    act: SEND_AHEAD,
    clients: OTHER_PORT_CLIENTS,
    text: READY,
  },
  {
    what: 'other method at the readiness port, sent ahead',
    to: READINESS,
    act: SEND_AHEAD,
    clients: OTHER_PORT_CLIENTS,
    text: formatRequest({
      method: 'POST',
      path: '/-/readyz',
      headers: {Host: HOST},
      body: 'x'.repeat(500),
    }),
  },
  {
    what: 'no route at the frontend, sent ahead',
    to: FRONTEND,
    act: SEND_AHEAD,
    text: NO_ROUTE,
  },
  {
    what: 'no route at the readiness port, sent ahead',
    to: READINESS,
    act: SEND_AHEAD,
    clients: OTHER_PORT_CLIENTS,
    text: NO_ROUTE,
  },
  {
    what: 'no route at the metrics port, sent ahead',
    to: METRICS,
    act: SEND_AHEAD,
    clients: OTHER_PORT_CLIENTS,
    text: NO_ROUTE,
  },
  {
    what: 'no route, HTTP/1.0 that keeps its connection, sent ahead',
    to: FRONTEND,
    act: SEND_AHEAD,
    text: formatRequest({
      path: '/none/1',
      version: '1.0',
      headers: {Host: HOST, Connection: 'keep-alive'},
    }),
  },
  {
    what: 'no route, reset each half second, sent ahead',
    to: FRONTEND,
    act: SEND_AHEAD,
    text: NO_ROUTE,
    resetAfterMs: 500,
  },
  {
    what: 'no route, half closed',
    to: FRONTEND,
    act: HALF_CLOSE,
    text: NO_ROUTE,
  },
  {
    what: 'unknown keys and bodies, sent ahead',
    to: FRONTEND,
    act: SEND_AHEAD,
    text: formatRequest({
      ...ORDER,
      headers: UNKNOWN_KEY,
      body: 'x'.repeat(2_000),
    }),
  },
  {
    what: 'unknown keys and chunks, sent ahead',
    to: FRONTEND,
    act: SEND_AHEAD,
    text: `${formatRequest({
      ...ORDER,
      headers: {...CHUNKED, Authorization: 'Token nobody'},
    })}5\r\nhello\r\n0\r\n\r\n`,
  },
  {
    what: 'bodies of the largest size, sent ahead',
    to: FRONTEND,
    act: SEND_AHEAD,
    text: formatRequest({...ORDER, body: 'x'.repeat(MAX_BODY_BYTES)}),
  },
  {
    what: 'metrics that are never read',
    to: METRICS,
    act: SEND_AHEAD,
    clients: OTHER_PORT_CLIENTS,
    text: SCRAPE,
  },
  {
    what: 'more connections than descriptors at the frontend',
    to: FRONTEND,
    act: SEND_ONCE,
    text: '',
    clients: MANY_CLIENTS,
  },
  {
    what: 'more connections than descriptors, a request unread on each',
    to: FRONTEND,
    act: SEND_ONCE,
    text: NO_ROUTE,
    clients: MANY_CLIENTS,
  },
  {
    what: 'more connections than descriptors at the readiness port',
    to: READINESS,
    act: SEND_ONCE,
    text: '',
    clients: MANY_CLIENTS,
  },
  {
    what: 'more connections than descriptors at the metrics port',
    to: METRICS,
    act: SEND_ONCE,
    text: '',
    clients: MANY_CLIENTS,
  },
  {
    what: 'more connections than descriptors at the peers port',
    to: PEERS,
    act: SEND_ONCE,
    text: formatHello(),
    clients: MANY_CLIENTS,
  },
  {
    what: 'one byte a second of a head on many connections',
    to: FRONTEND,
    act: DRIP,
    text: formatRequest(ORDER),
    clients: MANY_CLIENTS,
  },
  {
    what: 'one byte a second of a body on many connections',
    to: FRONTEND,
    act: DRIP,
    opening: formatRequest({
      ...ORDER,
      headers: {...USUAL, 'Content-Length': '1000'},
    }),
    text: 'x'.repeat(1_000),
    clients: MANY_CLIENTS,
  },
  {
    what: 'streams read a byte a second',
    to: FRONTEND,
    act: SIP,
    text: STREAM,
  },
  {
    what: 'streams sent ahead',
    to: FRONTEND,
    act: SEND_AHEAD,
    text: STREAM,
  },
  {
    what: 'answers of 4 MB read a byte a second',
    to: FRONTEND,
    act: SIP,
    text: formatRequest({...ORDER, path: SitePath.MOVING, method: 'GET'}),
  },
  {
    what: 'answers of 4 MB, sent ahead',
    to: FRONTEND,
    act: SEND_AHEAD,
    text: formatRequest({...ORDER, path: SitePath.MOVING, method: 'GET'}),
  },
  {
    what: 'permits asked of the peers port, sent ahead',
    to: PEERS,
    act: SEND_AHEAD,
    opening: formatHello(),
    text: ASK_PERMIT,
  },
  {
    what: 'changes asked of the peers port, sent ahead',
    to: PEERS,
    act: SEND_AHEAD,
    opening: formatHello(),
    text: WATCH,
    clients: OTHER_PORT_CLIENTS,
  },
  {
    what: 'frames of the largest size that do not end, at the peers port',
    to: PEERS,
    act: SEND_AHEAD,
    opening: `${formatHello()}\x00\x7f\xff\xff`,
    text: 'x'.repeat(1_000),
  },
];

describe('an entry among clients that nobody controls', () => {
  let site: LimitedEntrySite;
  let crowd: Crowd | undefined;

  beforeEach(async () => {
    site = await LimitedEntrySite.start();
  });

  afterEach(async () => {
    await crowd?.stop();
    await site.stop();
  });

  // Guards against processes that clients end or stop from serving (CROWD).
  it.for(CASES)('lives and serves: $what', async (row, {annotate}) => {
    crowd = await Crowd.play({...site.endpointOf(row.to), ...row});
    const served = await Promise.all([
      site.sendOrder().catch(String),
      site.askReady().catch(String),
    ]);
    const {bounds} = site;
    await annotate(bounds.peaks);
    expect({...bounds.trespasses(), served}).toEqual({served: [200, 200]});
  });
});
