/** A mixed load of concurrent generations, bookings and stock lookups. */
import type {Dispatcher} from 'undici';
import {Agent, request} from 'undici';

import {expectedOutput} from '../../stand-ins/engine/text.js';
import {createTranscript, DEMO_KEY, readStream} from './caller.js';
import type {Site} from './site.js';

/** Pause between two requests of a loop and between readiness polls. */
const PAUSE_MS = 20;

/** Attempts per request; the pauses between them add up to 30 s. */
const MAX_ATTEMPTS = 1_500;

/** Outcomes of the requests of one kind. */
export interface KindTally {
  /** Number of complete and correct responses. */
  done: number;
  /** Descriptions of the requests with any other outcome. */
  wrong: string[];
}

/** Outcomes of all requests of a load. */
export interface LoadTally {
  readonly generations: KindTally;
  readonly bookings: KindTally;
  readonly stock: KindTally;
  /** Number of refusals stating that nothing ran. */
  refusedNotRun: number;
  /** Number of connections that entries refused. */
  notConnected: number;
  /** Requests whose connection broke before the response was complete. */
  cutOff: string[];
}

/** Members of a problem document. */
interface Problem {
  readonly reason?: string;
  /** `no` if nothing ran, so that the request can be sent again. */
  readonly ran?: string;
}

/** Response to a plain call; undefined if the connection failed or broke. */
type PlainResponse = {status: number; body: unknown} | undefined;

/**
 * Sends requests to the ready entries in turn. If a refusal states that nothing
 * ran, or the connection fails, the request is retried at the next entry.
 *
 * @example
 * const load = new MixedLoad({site, generations: 2, tokens: 50, ...});
 * await load.start();
 * const tally = await load.stop();
 */
export class MixedLoad {
  /** Idempotency keys of all bookings sent. */
  readonly bookedKeys: string[] = [];
  private readonly tally: LoadTally = {
    generations: {done: 0, wrong: []},
    bookings: {done: 0, wrong: []},
    stock: {done: 0, wrong: []},
    refusedNotRun: 0,
    notConnected: 0,
    cutOff: [],
  };
  private readonly dispatcher: Dispatcher = new Agent({
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  private readonly loops: Array<Promise<void>> = [];
  private readyUrls: string[] = [];
  private nextIndex = 0;
  private sequence = 0;
  private stopping = false;

  constructor(
    private readonly options: {
      site: Site;
      /** Number of concurrent generations. */
      generations: number;
      /** Number of tokens of each generation. */
      tokens: number;
      /** Number of concurrent loops that send bookings. */
      bookings: number;
      /** Number of concurrent loops that look up stock. */
      lookups: number;
    },
  ) {}

  /** Finds the ready entries, then starts all loops. */
  async start(): Promise<void> {
    await this.updateReadyUrls();
    this.loops.push(this.pollReadiness());
    const {generations, bookings, lookups} = this.options;
    for (let i = 0; i < generations; i++) this.startLoop(() => this.generate());
    for (let i = 0; i < bookings; i++) this.startLoop(() => this.book());
    for (let i = 0; i < lookups; i++) this.startLoop(() => this.lookUp());
  }

  /** Stops the loops, waits for open requests and returns the tally. */
  async stop(): Promise<LoadTally> {
    this.stopping = true;
    await Promise.all(this.loops);
    await this.dispatcher.close();
    return this.tally;
  }

  private startLoop(step: () => Promise<void>): void {
    const run = async (): Promise<void> => {
      while (!this.stopping) {
        await step();
        await pause();
      }
    };
    this.loops.push(run());
  }

  private async pollReadiness(): Promise<void> {
    while (!this.stopping) {
      await this.updateReadyUrls();
      await pause();
    }
  }

  /** Updates the list of ready entries; keeps it if no entry is ready. */
  private async updateReadyUrls(): Promise<void> {
    const running = this.options.site.entries.filter((e) => e.proc.isRunning);
    const checks = running.map(async (entry) => {
      const res = await request(`${entry.operatorsUrl}/readyz`);
      await res.body.dump();
      return res.statusCode === 200 ? entry.callersUrl : '';
    });
    const results = await Promise.allSettled(checks);
    const urls = results.map((r) => (r.status === 'fulfilled' ? r.value : ''));
    const ready = urls.filter((url) => url !== '');
    if (ready.length > 0) this.readyUrls = ready;
  }

  private nextUrl(): string {
    return this.readyUrls[this.nextIndex++ % this.readyUrls.length]!;
  }

  private async generate(): Promise<void> {
    const {tokens} = this.options;
    const prompt = `load ${this.sequence++} [length=${tokens}]`;
    const req = {prompt, maxTokens: tokens};
    const transcript = createTranscript();
    for (let i = 0; i < MAX_ATTEMPTS && transcript.doneEvents === 0; i++) {
      const url = this.nextUrl();
      try {
        await readStream({url, req, transcript});
        if (transcript.errors.length > 0) {
          const problem = transcript.errors.pop() as Problem;
          if (problem.ran !== 'no') {
            this.tally.generations.wrong.push(JSON.stringify(problem));
            return;
          }
          this.tally.refusedNotRun++;
        } else if (transcript.doneEvents === 0) {
          this.tally.cutOff.push(`stream at ${transcript.chunks} tokens`);
        }
      } catch (cause) {
        this.recordFailure('generation', cause);
      }
      if (transcript.doneEvents === 0) await pause();
    }
    const expected = expectedOutput({prompt, maxTokens: tokens, stop: []});
    const text = expected.tokens.map((token) => token.text).join('');
    const isComplete = transcript.text === text && transcript.doneEvents === 1;
    if (isComplete && transcript.restarts === 0) this.tally.generations.done++;
    else this.tally.generations.wrong.push(`${prompt}: ${transcript.text}`);
  }

  private async book(): Promise<void> {
    const key = `load-${this.sequence++}`;
    this.bookedKeys.push(key);
    const res = await this.sendUntilAccepted({
      path: '/services/orders/bookings',
      method: 'POST',
      key,
    });
    if (res?.status === 201) this.tally.bookings.done++;
    else this.tally.bookings.wrong.push(`${key}: ${JSON.stringify(res)}`);
  }

  private async lookUp(): Promise<void> {
    const item = `item-${this.sequence++}`;
    const path = `/services/stock/stock/${item}`;
    const res = await this.sendUntilAccepted({path, method: 'GET'});
    const found = (res?.body as {item?: string} | undefined)?.item;
    if (found === item) this.tally.stock.done++;
    else this.tally.stock.wrong.push(JSON.stringify(res));
  }

  /**
   * Sends a call to one entry after another until a response does not state
   * `ran: no`; returns undefined if all attempts fail.
   */
  private async sendUntilAccepted(call: {
    path: string;
    method: 'GET' | 'POST';
    key?: string;
  }): Promise<PlainResponse> {
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      const res = await this.sendOnce(this.nextUrl(), call);
      const problem = res?.body as Problem | undefined;
      const isFinal = res !== undefined && problem?.ran !== 'no';
      if (isFinal) return res;
      if (res !== undefined) this.tally.refusedNotRun++;
      await pause();
    }
    return undefined;
  }

  private async sendOnce(
    url: string,
    call: {path: string; method: 'GET' | 'POST'; key?: string},
  ): Promise<PlainResponse> {
    const {path, method, key} = call;
    try {
      const res = await request(`${url}${path}`, {
        method,
        dispatcher: this.dispatcher,
        headers: {
          authorization: `Bearer ${DEMO_KEY}`,
          'content-type': 'application/json',
          ...(key === undefined ? {} : createKeyHeaders(key)),
        },
        body: method === 'POST' ? '{"pallets":1}' : undefined,
      });
      return {status: res.statusCode, body: await res.body.json()};
    } catch (cause) {
      this.recordFailure(`${method} ${path}`, cause);
      return undefined;
    }
  }

  private recordFailure(requestName: string, cause: unknown): void {
    const {code, message} = cause as {code?: string; message?: string};
    if (code === 'ECONNREFUSED') this.tally.notConnected++;
    else
      this.tally.cutOff.push(`${requestName}: ${code ?? message ?? 'unknown'}`);
  }
}

function pause(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
}

/** States that the key is new, so that a refusal can state that nothing ran. */
function createKeyHeaders(key: string): Record<string, string> {
  return {'idempotency-key': key, 'idempotency-first-use': 'true'};
}
