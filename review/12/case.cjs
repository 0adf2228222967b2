/** A planned stop while a client slowly reads an answer without a length. */
'use strict';
const rig = require('../rig-3.cjs');

const BODY_BYTES = 4_190_000;
/** When the entry gets SIGTERM, after the request was sent. */
const STOP_AFTER_MS = 1_000;
const GRACE_MS = 8_000;
/** The server answers the one without, the other with a length. */
const WITHOUT_LENGTH = '/stock/1';
const WITH_LENGTH = '/stock/2';

async function play({dir, record, hasTrouble, keep}) {
  const store = keep(new rig.Store());
  await store.start();
  store.put('config', 'main', rig.desiredState());
  const body = Buffer.alloc(BODY_BYTES, 'x');
  const server = keep(
    new rig.Server({
      id: 'i-desk-1',
      service: 'desk',
      onRun: ({id}) => record.line(`the server runs ${id}`),
      serve: ({id, req, res}) => {
        const head = {'Attempt-Id': id, 'Server-Stamp': `stamp.${id}`};
        if (req.url === WITH_LENGTH) {
          res.writeHead(200, {...head, 'Content-Length': BODY_BYTES});
        } else {
          res.useChunkedEncodingByDefault = false;
          res.shouldKeepAlive = false;
          res.writeHead(200, {...head, Connection: 'close'});
        }
        res.end(body);
      },
    }),
  );
  await server.start(store);
  const entry = keep(new rig.Entry({name: 'edge-a-1', store, dir}));
  await entry.start();
  const reading = Promise.all([
    rig.readSlowly({entry, id: 'client-1', url: WITHOUT_LENGTH}),
    rig.readSlowly({entry, id: 'client-2', url: WITH_LENGTH}),
  ]);
  record.line('client-1 and client-2 sent');
  await rig.sleep(STOP_AFTER_MS);
  if (hasTrouble) {
    entry.child.kill('SIGTERM');
    record.line('SIGTERM to the entry');
    const kill = setTimeout(() => entry.child.kill('SIGKILL'), GRACE_MS);
    entry.exit.then(({code, signal}) => {
      clearTimeout(kill);
      record.line(`the entry ended: status ${code}, signal ${signal}`);
    });
  }
  const [without, withLength] = await reading;
  describe({record, id: 'client-1', seen: without});
  describe({record, id: 'client-2', seen: withLength});
  const looksComplete =
    without.end.startsWith('orderly') &&
    without.head.startsWith('HTTP/1.1 200');
  const isMixed = looksComplete && without.bytes !== BODY_BYTES;
  const isLost = withLength.bytes !== BODY_BYTES;
  if (isMixed) record.line('MIXED: client-1 has a part that looks complete');
  if (isLost) record.line('LOST: the channel of client-2 ended too early');
  return isMixed || isLost;
}

function describe({record, id, seen}) {
  for (const line of seen.head.split('\r\n')) record.line(`  ${id} < ${line}`);
  record.line(`${id} got ${seen.bytes} of ${BODY_BYTES} bytes: ${seen.end}`);
}

rig.runCase({folder: __dirname, play});
