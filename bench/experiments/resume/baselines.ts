/** What callers would do without the system, straight at the engines. */
import type {StandIn} from '../../../tools/lab/lab.js';
import {ProcessHarness, sendControl} from '../../../tools/lab/lab.js';
import type {CompletionRequest, Transcript} from '../../../tools/lab/caller.js';
import {createTranscript, readStream} from '../../../tools/lab/caller.js';
import {Samples} from '../../lib/samples.js';

const STREAMS = 6;
const PACE_MS = 20;
const TOKENS = 70;
const TOKENS_BEFORE = 30;
const FIXED_TIMEOUT_MS = 5_000;

/** What a baseline cost. */
export interface BaselineResult {
  readonly name: string;
  readonly wait: Samples;
  readonly decodedPerLost: number;
  readonly prefilledPerLost: number;
}

/** The connection breaks with the engine; the answer starts from zero. */
export function measureFromZero(): Promise<BaselineResult> {
  return measure('baseline, from zero', (engine) => engine.proc.kill());
}

/** The engine falls silent; after a fixed time the answer starts anew. */
export function measureFixedTimeout(): Promise<BaselineResult> {
  const name = 'baseline, fixed 5 s time-out';
  return measure(name, (engine) => engine.proc.pause());
}

async function measure(
  name: string,
  lose: (engine: StandIn) => void,
): Promise<BaselineResult> {
  const lab = new ProcessHarness();
  const wait = new Samples({name: `${name}: wait`, unit: 'ms'});
  try {
    const flags = {'pace-ms': PACE_MS};
    const first = await lab.startStandIn({name: 'engine', flags});
    const second = await lab.startStandIn({name: 'engine', flags});
    const answers = Array.from({length: STREAMS}, (_, i) =>
      readTwice({first, second, index: i, lose, wait}),
    );
    const lost = await Promise.all(answers);
    const lostTokens = lost.reduce((sum, tokens) => sum + tokens, 0);
    const {tokensProduced, prefillTokens} = (await sendControl({
      url: `${second.url}/counts`,
    })) as {tokensProduced: number; prefillTokens: number};
    const decoded = tokensProduced - (STREAMS * TOKENS - lostTokens);
    return {
      name,
      wait,
      decodedPerLost: decoded / lostTokens,
      prefilledPerLost: prefillTokens / lostTokens,
    };
  } finally {
    await lab.close();
  }
}

/** Reads until the loss, then from zero; returns the tokens lost. */
async function readTwice(options: {
  first: StandIn;
  second: StandIn;
  index: number;
  lose: (engine: StandIn) => void;
  wait: Samples;
}): Promise<number> {
  const {first, second, index, lose, wait} = options;
  const prompt = `baseline ${index} [length=${TOKENS}]`;
  const ask: CompletionRequest = {prompt, maxTokens: TOKENS};
  const before = createTranscript();
  const abort = new AbortController();
  let timer = setTimeout(() => abort.abort(), FIXED_TIMEOUT_MS);
  await readStream({
    url: first.url,
    req: ask,
    transcript: before,
    signal: abort.signal,
    onChunk: ({chunks: pieces}) => {
      clearTimeout(timer);
      timer = setTimeout(() => abort.abort(), FIXED_TIMEOUT_MS);
      if (pieces === TOKENS_BEFORE && index === 0) lose(first);
    },
  }).catch(() => undefined);
  clearTimeout(timer);
  const after = createTranscript();
  await readStream({url: second.url, req: ask, transcript: after});
  wait.add(waitForNew(before, after));
  return before.chunks;
}

/** From the last token seen to the first one that is new to the caller. */
function waitForNew(before: Transcript, after: Transcript): number {
  const next = after.arrivalsMs[before.chunks] ?? after.arrivalsMs.at(-1)!;
  return next - before.arrivalsMs.at(-1)!;
}
