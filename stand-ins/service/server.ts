/** Plain service with bookings, which must not run twice, and stock lookups. */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';

import {ExecutionCounter} from '../ledger/execution-counter.js';
import {enumField, numberField} from '../lib/fields.js';
import type {HttpCall, RunningServer} from '../lib/http-server.js';
import {nameLimit} from '../lib/limit.js';
import {
  HttpError,
  readJson,
  sendJson,
  startServer,
} from '../lib/http-server.js';
import {ConcurrencyLimiter} from './concurrency-limiter.js';
import type {ServiceOptions} from './types.js';
import {ServiceFault} from './types.js';

/** Default options of a service. */
export const DEFAULT_SERVICE_OPTIONS: ServiceOptions = {
  address: '127.0.0.1',
  port: 0,
  delayMs: 5,
  capacity: 50,
  ledgerUrl: '',
  limitPerSecond: -1,
  exit: () => process.exit(1),
};

/** Default delay multiplier of the `slow` fault. */
const DEFAULT_SLOW_FACTOR = 100;

/** Upper limit of stock numbers, exclusive. */
const STOCK_RANGE = 500;

/**
 * Starts a service.
 *
 * @example
 * const service = await startService({delayMs: 0});
 */
export function startService(
  options: Partial<ServiceOptions> = {},
): Promise<RunningServer> {
  const full = {...DEFAULT_SERVICE_OPTIONS, ...options};
  const service = new PlainService(full);
  const {address, port} = full;
  const handle = (call: HttpCall): Promise<void> => service.handle(call);
  return startServer({address, port, handle});
}

class PlainService {
  private readonly executions = new ExecutionCounter();
  private readonly limiter: ConcurrencyLimiter;
  private fault = ServiceFault.NONE;
  private slowFactor = 1;
  private lookups = 0;
  /** Unix times of the calls, in milliseconds. */
  private readonly arrivedAtMs: number[] = [];

  constructor(private readonly options: ServiceOptions) {
    this.limiter = new ConcurrencyLimiter(options.capacity);
  }

  async handle(call: HttpCall): Promise<void> {
    const {method, segments, res} = call;
    const [root = '', item = ''] = segments;
    switch (`${method} /${root}`) {
      case 'POST /bookings':
        this.recordArrival(call);
        return this.book(call);
      case 'GET /stock':
        this.recordArrival(call);
        return this.lookUp(call, item);
      case 'GET /counts': {
        const body = {perKey: this.executions.perKey, lookups: this.lookups};
        return sendJson({res, status: 200, body});
      }
      case 'GET /arrivals': {
        const {arrivedAtMs} = this;
        return sendJson({res, status: 200, body: {arrivedAtMs}});
      }
      case 'GET /health':
        return this.health(call);
      case 'POST /faults':
        return this.setFault(call);
      default:
        throw new HttpError(404, 'no such path');
    }
  }

  private recordArrival({res}: HttpCall): void {
    this.arrivedAtMs.push(Date.now());
    nameLimit(res, this.options.limitPerSecond);
  }

  private async book({req, res}: HttpCall): Promise<void> {
    const header = req.headers['idempotency-key'];
    const key = typeof header === 'string' ? header : '';
    await readJson({req});
    this.checkFailFast();
    await this.limiter.run(async () => {
      await this.work();
      const execution = await this.execute(key);
      const body = {booking: randomUUID(), key, execution};
      sendJson({res, status: 201, body});
    });
  }

  private async execute(key: string): Promise<number> {
    const {fault} = this;
    if (fault === ServiceFault.DIE_BEFORE_EFFECT) await this.die();
    const execution = await this.count(key);
    if (fault === ServiceFault.DIE_AFTER_EFFECT) await this.die();
    return execution;
  }

  private async count(key: string): Promise<number> {
    const execution = this.executions.add(key);
    if (this.options.ledgerUrl === '') return execution;
    const res = await fetch(`${this.options.ledgerUrl}/executions`, {
      method: 'POST',
      body: JSON.stringify({key}),
    });
    return numberField(await res.json(), 'execution', execution);
  }

  private async lookUp({res}: HttpCall, item: string): Promise<void> {
    this.checkFailFast();
    await this.limiter.run(async () => {
      await this.work();
      this.lookups += 1;
      const available = Buffer.from(item).reduce((a, b) => a + b, 0);
      const body = {item, available: available % STOCK_RANGE};
      sendJson({res, status: 200, body});
    });
  }

  private health({res}: HttpCall): void {
    if (this.fault === ServiceFault.STALL) return;
    const {running} = this.limiter;
    const body = {running, capacity: this.options.capacity};
    sendJson({res, status: 200, body});
  }

  private async setFault({req, res}: HttpCall): Promise<void> {
    const body = await readJson({req});
    const fault = enumField(body, 'kind', ServiceFault);
    if (fault === ServiceFault.DIE) return this.options.exit();
    this.fault = fault;
    const factor = numberField(body, 'factor', DEFAULT_SLOW_FACTOR);
    this.slowFactor = fault === ServiceFault.SLOW ? factor : 1;
    this.limiter.setPaused(fault === ServiceFault.STALL);
    sendJson({res, status: 200, body: {kind: fault}});
  }

  private async work(): Promise<void> {
    const {delayMs} = this.options;
    if (delayMs > 0) await sleep(delayMs * this.slowFactor);
  }

  private checkFailFast(): void {
    if (this.fault !== ServiceFault.FAIL_FAST) return;
    throw new HttpError(500, 'failing fast');
  }

  /** Calls `exit` and never resolves, in case `exit` does not end the process. */
  private die(): Promise<never> {
    this.options.exit();
    return new Promise<never>(() => undefined);
  }
}
