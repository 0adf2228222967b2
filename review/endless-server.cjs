'use strict';
/**
 * A server in trouble, as a process of its own: it sheds one request in so many,
 * or answers it with success (`head`), and the body of that answer, in chunks of
 * one byte, goes on until the caller closes the channel. All else is in order. A
 * message ends the trouble: from then on all answers are in order, and only
 * channels that are still open go on.
 */
const {TargetServer, sleep} = require('./site.cjs');

const CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(16_000));
/** At most what a link of 1,000 Mbit/s carries. */
const PERIOD_MS = 1;

const HEADS = {
  shed: 'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n',
  success: 'HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\n',
};

class EndlessServer extends TargetServer {
  async run(req, res, body, load) {
    this.count = (this.count ?? 0) + 1;
    if (!this.isTroubled || this.count % this.every !== 0) {
      await super.run(req, res, body, load);
      return;
    }
    const id = req.headers['attempt-id'];
    const {socket} = req;
    process.send({type: 'endless', id});
    socket.write(
      `${HEADS[this.head]}Attempt-Id: ${id}\r\n` +
        'Transfer-Encoding: chunked\r\n\r\n',
    );
    let sent = 0;
    while (!socket.destroyed) {
      if (socket.writableLength < CHUNKS.length) {
        socket.write(CHUNKS);
        sent += CHUNKS.length;
      }
      await sleep(PERIOD_MS);
    }
    process.send({type: 'closed', id, sent});
  }
}

let server;
process.on('disconnect', () => process.exit(0));
process.on('message', async (message) => {
  if (message === 'trouble ends') {
    server.isTroubled = false;
    return;
  }
  server = new EndlessServer(message);
  server.onRun = ({id}) => process.send({type: 'run', id});
  await server.start();
  process.send({type: 'ready', entry: server.entry()});
});
