/** Callers that keep generations, bookings and stock lookups in flight. */
import type {Dispatcher} from 'undici';
import {Agent, request} from 'undici';

import {expectedOutput} from '../../stand-ins/engine/text.js';
import {createTranscript, DEMO_KEY, readStream} from './caller.js';
import type {Site} from './site.js';

const PAUSE_MS = 20;
const MAX_TRIES = 1_500;

/** What became of the requests of one kind. */
export interface KindTally {
  /** Answered whole and right. */
  done: number;
  /** Answered, but not as they should be. */
  wrong: string[];
}

/** What became of a load. */
export interface LoadTally {
  readonly generations: KindTally;
  readonly bookings: KindTally;
  readonly stock: KindTally;
  /** Refusals that said that nothing ran. */
  refusedNotRun: number;
  /** Connections that an entry did not take. */
  notConnected: number;
  /** Requests whose connection broke before their answer was whole. */
  cutOff: string[];
}

interface Problem {
  readonly reason?: string;
  readonly ran?: string;
}

/** One answer to a plain call; undefined where no connection was made. */
type PlainAnswer = {status: number; body: unknown} | undefined;

/** Sends to ready entries in turn and goes elsewhere when refused. */
export class MixedLoad {
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
  private ready: string[] = [];
  private turn = 0;
  private sequence = 0;
  private stopping = false;

  constructor(
    private readonly options: {
      site: Site;
      /** Generations at once and the tokens of each. */
      generations: number;
      tokens: number;
      /** Loops of bookings and of lookups. */
      bookings: number;
      lookups: number;
    },
  ) {}

  /** Begins; resolves once a ready entry is known. */
  async start(): Promise<void> {
    await this.findReady();
    this.loops.push(this.followReadiness());
    const {generations, bookings, lookups} = this.options;
    for (let i = 0; i < generations; i++) this.loop(() => this.generate());
    for (let i = 0; i < bookings; i++) this.loop(() => this.book());
    for (let i = 0; i < lookups; i++) this.loop(() => this.lookUp());
  }

  /** Sends no more, waits for what is in flight and tells what became. */
  async stop(): Promise<LoadTally> {
    this.stopping = true;
    await Promise.all(this.loops);
    await this.dispatcher.close();
    return this.tally;
  }

  private loop(step: () => Promise<void>): void {
    const run = async (): Promise<void> => {
      while (!this.stopping) {
        await step();
        await pause();
      }
    };
    this.loops.push(run());
  }

  private async followReadiness(): Promise<void> {
    while (!this.stopping) {
      await this.findReady();
      await pause();
    }
  }

  private async findReady(): Promise<void> {
    const running = this.options.site.entries.filter((e) => e.proc.isRunning);
    const checks = running.map(async (entry) => {
      const res = await request(`${entry.operatorsUrl}/readyz`);
      await res.body.dump();
      return res.statusCode === 200 ? entry.callersUrl : '';
    });
    const results = await Promise.allSettled(checks);
    const urls = results.map((r) => (r.status === 'fulfilled' ? r.value : ''));
    const ready = urls.filter((url) => url !== '');
    if (ready.length > 0) this.ready = ready;
  }

  private next(): string {
    return this.ready[this.turn++ % this.ready.length]!;
  }

  private async generate(): Promise<void> {
    const {tokens} = this.options;
    const prompt = `load ${this.sequence++} [length=${tokens}]`;
    const ask = {prompt, maxTokens: tokens};
    const transcript = createTranscript();
    for (let i = 0; i < MAX_TRIES && transcript.ends === 0; i++) {
      const url = this.next();
      try {
        await readStream({url, ask, transcript});
        if (transcript.errors.length > 0) {
          const problem = transcript.errors.pop() as Problem;
          if (problem.ran !== 'no') {
            this.tally.generations.wrong.push(JSON.stringify(problem));
            return;
          }
          this.tally.refusedNotRun++;
        } else if (transcript.ends === 0) {
          this.tally.cutOff.push(`stream at ${transcript.pieces} tokens`);
        }
      } catch (cause) {
        this.noteBroken('generation', cause);
      }
      if (transcript.ends === 0) await pause();
    }
    const answer = expectedOutput({prompt, maxTokens: tokens, stop: []});
    const text = answer.tokens.map((token) => token.text).join('');
    const whole = transcript.text === text && transcript.ends === 1;
    if (whole && transcript.restarts === 0) this.tally.generations.done++;
    else this.tally.generations.wrong.push(`${prompt}: ${transcript.text}`);
  }

  private async book(): Promise<void> {
    const key = `load-${this.sequence++}`;
    this.bookedKeys.push(key);
    const answer = await this.askUntilRun({
      path: '/services/orders/bookings',
      method: 'POST',
      key,
    });
    if (answer?.status === 201) this.tally.bookings.done++;
    else this.tally.bookings.wrong.push(`${key}: ${JSON.stringify(answer)}`);
  }

  private async lookUp(): Promise<void> {
    const item = `item-${this.sequence++}`;
    const path = `/services/stock/stock/${item}`;
    const answer = await this.askUntilRun({path, method: 'GET'});
    const found = (answer?.body as {item?: string} | undefined)?.item;
    if (found === item) this.tally.stock.done++;
    else this.tally.stock.wrong.push(JSON.stringify(answer));
  }

  /** Asks entry after entry until one does not refuse as not run. */
  private async askUntilRun(call: {
    path: string;
    method: 'GET' | 'POST';
    key?: string;
  }): Promise<PlainAnswer> {
    for (let i = 0; i < MAX_TRIES; i++) {
      const answer = await this.askOnce(this.next(), call);
      const problem = answer?.body as Problem | undefined;
      const isOver = answer !== undefined && problem?.ran !== 'no';
      if (isOver) return answer;
      if (answer !== undefined) this.tally.refusedNotRun++;
      await pause();
    }
    return undefined;
  }

  private async askOnce(
    url: string,
    call: {path: string; method: 'GET' | 'POST'; key?: string},
  ): Promise<PlainAnswer> {
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
      this.noteBroken(`${method} ${path}`, cause);
      return undefined;
    }
  }

  private noteBroken(what: string, cause: unknown): void {
    const {code, message} = cause as {code?: string; message?: string};
    if (code === 'ECONNREFUSED') this.tally.notConnected++;
    else this.tally.cutOff.push(`${what}: ${code ?? message ?? 'unknown'}`);
  }
}

function pause(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
}

/** Keys are new, so a refusal can say that nothing ran under them. */
function createKeyHeaders(key: string): Record<string, string> {
  return {'idempotency-key': key, 'idempotency-first-use': 'true'};
}
