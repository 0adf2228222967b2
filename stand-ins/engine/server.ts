/** HTTP server of the model engine stand-in. */
import {randomUUID} from 'node:crypto';
import type {ServerResponse} from 'node:http';

import type {FinishReason, Token} from '../../src/core/edges/index.js';
import {
  enumField,
  isInteger,
  isString,
  listField,
  numberField,
  textField,
} from '../lib/fields.js';
import type {HttpCall, RunningServer} from '../lib/http-server.js';
import {nameLimit} from '../lib/limit.js';
import {
  HttpError,
  readJson,
  sendJson,
  startServer,
} from '../lib/http-server.js';
import {Batch} from './batch.js';
import {CommandLog} from './commands.js';
import type {EngineOptions, Generation} from './types.js';
import {EarlyEnd, EngineFault} from './types.js';

/** Default options of an engine. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  address: '127.0.0.1',
  port: 0,
  paceMs: 50,
  prefillUsPerToken: 50,
  capacity: 16,
  reportLagMs: 500,
  ignoresFencing: false,
  crashOn: '',
  earlyEnd: EarlyEnd.NEVER,
  limitPerSecond: -1,
  exit: () => process.exit(1),
};

/** Default step time multiplier of the `slow` fault. */
const DEFAULT_SLOW_FACTOR = 10;

/** Token limit of a request without `max_tokens`. */
const DEFAULT_MAX_TOKENS = 16;

/**
 * Starts an engine.
 *
 * @example
 * const engine = await startEngine({paceMs: 1});
 */
export async function startEngine(
  options: Partial<EngineOptions> = {},
): Promise<RunningServer> {
  const full = {...DEFAULT_ENGINE_OPTIONS, ...options};
  const engine = new EngineServer(full);
  const {address, port} = full;
  const handle = (call: HttpCall): Promise<void> => engine.handle(call);
  const server = await startServer({address, port, handle});
  const close = (): Promise<void> => {
    engine.close();
    return server.close();
  };
  return {...server, close};
}

class EngineServer {
  private readonly instance = randomUUID();
  private readonly batch: Batch;
  private readonly commands: CommandLog;
  private fault = EngineFault.NONE;
  /** Unix times of the requests, in milliseconds. */
  private readonly arrivedAtMs: number[] = [];

  constructor(private readonly options: EngineOptions) {
    this.batch = new Batch(options);
    this.commands = new CommandLog(options.ignoresFencing);
  }

  async handle(call: HttpCall): Promise<void> {
    const {res} = call;
    switch (`${call.method} /${call.segments.join('/')}`) {
      case 'POST /v1/completions':
        return this.complete(call);
      case 'GET /health':
        return this.health(res);
      case 'GET /counts':
        return sendJson({res, status: 200, body: this.batch.counts});
      case 'GET /arrivals': {
        const {arrivedAtMs} = this;
        return sendJson({res, status: 200, body: {arrivedAtMs}});
      }
      case 'POST /orders':
        return this.acceptCommand(call);
      case 'GET /orders':
        return sendJson({res, status: 200, body: this.commands.accepted});
      case 'POST /faults':
        return this.setFault(call);
      default:
        throw new HttpError(404, 'no such path');
    }
  }

  close(): void {
    this.batch.close();
  }

  private async complete({req, res}: HttpCall): Promise<void> {
    this.arrivedAtMs.push(Date.now());
    nameLimit(res, this.options.limitPerSecond);
    const generation = readGeneration(await readJson({req}));
    if (this.fault === EngineFault.FAIL_FAST) {
      throw new HttpError(500, 'failing fast');
    }
    res.writeHead(200, {'content-type': 'text/event-stream'});
    if (this.fault !== EngineFault.STALL) res.flushHeaders();
    const cancel = this.batch.add(generation, {
      onToken: (token) => writeChunk(res, {token}),
      onFinish: (finishReason) => endStream(res, finishReason),
    });
    res.on('close', cancel);
  }

  private health(res: ServerResponse): void {
    if (this.fault === EngineFault.STALL) return;
    const {running, waiting} = this.batch.laggedLoad;
    const body = {
      instance: this.instance,
      running,
      waiting,
      capacity: this.options.capacity,
      cachedPrefixes: this.batch.cache.reportedPrefixes,
    };
    sendJson({res, status: 200, body});
  }

  private async acceptCommand({req, res}: HttpCall): Promise<void> {
    const command = this.commands.accept(await readJson({req}));
    sendJson({res, status: 200, body: command});
  }

  private async setFault({req, res}: HttpCall): Promise<void> {
    const body = await readJson({req});
    const fault = enumField(body, 'kind', EngineFault);
    if (fault === EngineFault.DIE) return this.options.exit();
    this.fault = fault;
    const factor = numberField(body, 'factor', DEFAULT_SLOW_FACTOR);
    this.batch.setFault(fault, factor);
    sendJson({res, status: 200, body: {kind: fault}});
  }
}

function readGeneration(body: unknown): Generation {
  return {
    requestId: textField(body, 'request_id', ''),
    prompt: textField(body, 'prompt', ''),
    maxTokens: numberField(body, 'max_tokens', DEFAULT_MAX_TOKENS),
    stop: listField(body, 'stop', isString),
    priority: numberField(body, 'priority', 0),
    resumeIds: listField(body, 'resume_token_ids', isInteger),
  };
}

function endStream(
  res: ServerResponse,
  finishReason: FinishReason | undefined,
): void {
  if (finishReason !== undefined) writeChunk(res, {finishReason});
  res.end('data: [DONE]\n\n');
}

function writeChunk(
  res: ServerResponse,
  {token, finishReason}: {token?: Token; finishReason?: FinishReason},
): void {
  const choice = {
    index: 0,
    text: token?.text ?? '',
    token_ids: token === undefined ? [] : [token.id],
    finish_reason: finishReason ?? null,
  };
  res.write(`data: ${JSON.stringify({choices: [choice]})}\n\n`);
}
