/** HTTP API for operators: probes, metrics, status and drain. */
import {Hono} from 'hono';

import type {OperatorHandler} from '../core/edges/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';

const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4';

/**
 * Creates the operators' HTTP application.
 *
 * @example
 * const app = createOperatorsApp({handler, supervisor});
 * serve({fetch: app.fetch, port: 8081});
 */
export function createOperatorsApp(options: {
  handler: OperatorHandler;
  supervisor: Supervisor;
}): Hono {
  const {handler, supervisor} = options;
  const app = new Hono();
  app.onError((err, ctx) => {
    supervisor.run({name: TaskName.REQUEST}, () => {
      throw err;
    });
    return ctx.text('the request could not be handled', 500);
  });
  app.get('/healthz', (ctx) => ctx.text('ok'));
  app.get('/readyz', (ctx) =>
    handler.isReady() ? ctx.text('ready') : ctx.text('not ready', 503),
  );
  app.get('/metrics', async (ctx) => {
    const text = await handler.metrics();
    return ctx.text(text, 200, {'content-type': METRICS_CONTENT_TYPE});
  });
  app.get('/status', (ctx) => ctx.json(handler.status()));
  app.post('/drain', (ctx) => {
    handler.drain();
    return ctx.json(handler.status(), 202);
  });
  return app;
}
