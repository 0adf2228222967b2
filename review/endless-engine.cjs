'use strict';
/**
 * A model server in trouble, as a process of its own: to one stream in so many
 * it writes, after a proper head, line breaks without end until the caller closes
 * the channel. All else is in order.
 */
const {TargetServer, sleep} = require('./site.cjs');

/** What a link of 1,000 Mbit/s carries in 2 ms, shared by all channels. */
const CHUNK = Buffer.alloc(200_000, '\n');
const PERIOD_MS = 2;

class EndlessEngine extends TargetServer {
  async stream(req, res, run, head) {
    this.count = (this.count ?? 0) + 1;
    if (!this.isTroubled || this.count % this.every !== 0) {
      await super.stream(req, res, run, head);
      return;
    }
    await sleep(this.firstMs);
    process.send({type: 'endless', id: run.id});
    res.writeHead(200, {...head, 'Content-Type': 'text/event-stream'});
    const {socket} = req;
    let sent = 0;
    while (!socket.destroyed) {
      if (socket.writableLength < CHUNK.length) {
        res.write(CHUNK);
        sent += CHUNK.length;
      }
      await sleep(PERIOD_MS);
    }
    process.send({type: 'closed', id: run.id, sent});
  }
}

process.on('disconnect', () => process.exit(0));
process.once('message', async (options) => {
  const server = new EndlessEngine({...options, isEngine: true});
  server.onRun = ({id}) => process.send({type: 'run', id});
  await server.start();
  process.send({type: 'ready', entry: server.entry()});
});
