/** Baselines: recovery by the caller, directly at the engines. */
import type {StandIn} from '../../../tools/lab/lab.js';
import {ProcessHarness, sendControl} from '../../../tools/lab/lab.js';
import type {CompletionRequest, Transcript} from '../../../tools/lab/caller.js';
import {createTranscript, readStream} from '../../../tools/lab/caller.js';
import {Samples} from '../../lib/samples.js';

const STREAMS = 6;
const PACE_MS = 20;
const TOKENS = 70;
const TOKENS_BEFORE_LOSS = 30;
const FIXED_TIMEOUT_MS = 5_000;

/** Wait of the caller and extra computation of a baseline. */
export interface BaselineResult {
  readonly name: string;
  readonly wait: Samples;
  /** Tokens decoded again per token received before the loss. */
  readonly redecodedPerLostToken: number;
  /** Tokens prefilled again per token received before the loss. */
  readonly prefilledPerLostToken: number;
}

/** The engine dies and closes the connection; the caller restarts from zero. */
export function measureFromZero(): Promise<BaselineResult> {
  return measure('baseline, from zero', (engine) => engine.proc.kill());
}

/** The engine stops responding; the caller restarts after a fixed timeout. */
export function measureFixedTimeout(): Promise<BaselineResult> {
  const name = 'baseline, fixed 5 s time-out';
  return measure(name, (engine) => engine.proc.pause());
}

async function measure(
  name: string,
  injectLoss: (engine: StandIn) => void,
): Promise<BaselineResult> {
  const lab = new ProcessHarness();
  const wait = new Samples({name: `${name}: wait`, unit: 'ms'});
  try {
    const flags = {'pace-ms': PACE_MS};
    const first = await lab.startStandIn({name: 'engine', flags});
    const second = await lab.startStandIn({name: 'engine', flags});
    const answers = Array.from({length: STREAMS}, (_, i) =>
      readAcrossLoss({first, second, index: i, injectLoss, wait}),
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
      redecodedPerLostToken: decoded / lostTokens,
      prefilledPerLostToken: prefillTokens / lostTokens,
    };
  } finally {
    await lab.close();
  }
}

/**
 * Reads a stream until the loss, then reads it from zero at the second engine.
 * Returns the number of tokens received before the loss.
 */
async function readAcrossLoss(options: {
  first: StandIn;
  second: StandIn;
  index: number;
  injectLoss: (engine: StandIn) => void;
  wait: Samples;
}): Promise<number> {
  const {first, second, index, injectLoss, wait} = options;
  const prompt = `baseline ${index} [length=${TOKENS}]`;
  const req: CompletionRequest = {prompt, maxTokens: TOKENS};
  const beforeLoss = createTranscript();
  const abortController = new AbortController();
  let timer = setTimeout(() => abortController.abort(), FIXED_TIMEOUT_MS);
  await readStream({
    url: first.url,
    req,
    transcript: beforeLoss,
    signal: abortController.signal,
    onChunk: ({chunks}) => {
      clearTimeout(timer);
      timer = setTimeout(() => abortController.abort(), FIXED_TIMEOUT_MS);
      if (chunks === TOKENS_BEFORE_LOSS && index === 0) injectLoss(first);
    },
  }).catch(() => undefined);
  clearTimeout(timer);
  const afterRestart = createTranscript();
  await readStream({url: second.url, req, transcript: afterRestart});
  wait.add(computeWait(beforeLoss, afterRestart));
  return beforeLoss.chunks;
}

/** Time from the last token before the loss to the first new one. */
function computeWait(before: Transcript, after: Transcript): number {
  const next = after.arrivalsMs[before.chunks] ?? after.arrivalsMs.at(-1)!;
  return next - before.arrivalsMs.at(-1)!;
}
