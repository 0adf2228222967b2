/** Injects losses of targets while generations run. */
import {request} from 'undici';

import {expectedOutput} from '../../../stand-ins/engine/text.js';
import type {CompletionRequest, Transcript} from '../../../tools/lab/caller.js';
import {createTranscript, readWithResume} from '../../../tools/lab/caller.js';
import {controlRelay, sendControl, waitUntil} from '../../../tools/lab/lab.js';
import type {Target} from '../../../tools/lab/site.js';
import {Site} from '../../../tools/lab/site.js';
import {Samples} from '../../lib/samples.js';
import type {CaseResult} from '../../lib/types.js';

const ENGINES = 8;
const PACE_MS = 20;
const TOKENS = 70;

/** Minimum number of tokens of each generation before the loss. */
const TOKENS_BEFORE_LOSS = 30;

/** Prompt characters per token, as counted by the engine. */
const CHARACTERS_PER_TOKEN = 4;

const MS_PER_SECOND = 1_000;

/** How a target is lost. */
export enum Loss {
  DEATH = 'engine process dies',
  FREEZE = 'VM freezes',
  CUT = 'VM is cut off',
}

/** Results of the losses of one kind. */
export interface LossResult {
  readonly name: string;
  readonly kind: Loss;
  /** Time between the last token before and the first after, at the caller. */
  readonly wait: Samples;
  /** Phases of the wait, as measured by the entry. */
  readonly phases: readonly CaseResult[];
  readonly cost: ResumeCost;
  /** Share of all answers that were complete. */
  readonly completeShare: number;
}

/** Extra computation, per token that callers had received before the loss. */
export interface ResumeCost {
  /** Tokens prefilled by other targets. */
  readonly prefilled: number;
  /** Tokens decoded by other targets but not received by callers. */
  readonly decoded: number;
  /** Tokens decoded by the lost target but not received by callers. */
  readonly wastedDecodes: number;
  /** All extra tokens of other targets, per token of one prefill of the context. */
  readonly extraPerPrefill: number;
}

interface EngineCounts {
  readonly tokensProduced: number;
  readonly prefillTokens: number;
  readonly requests: ReadonlyArray<{
    readonly requestId: string;
    readonly resumedFrom: number;
  }>;
}

/** Sums over all rounds, in tokens unless stated otherwise. */
interface Tally {
  prefilled: number;
  decoded: number;
  wastedDecodes: number;
  /** Tokens that callers had received of interrupted generations. */
  lost: number;
  /** Tokens of one prefill of each lost context. */
  contextTokens: number;
  /** Number of answers that were complete. */
  complete: number;
  answers: number;
}

/** Measures `rounds` losses of one kind. */
export async function measureLoss(options: {
  loss: Loss;
  weigh: string;
  rounds: number;
  streams: number;
}): Promise<LossResult> {
  const {loss, weigh, rounds, streams} = options;
  const wait = new Samples({name: `${loss}: wait`, unit: 'ms'});
  const tally = createTally();
  const site = await Site.create({
    entries: 1,
    engines: ENGINES,
    relays: true,
    engineFlags: {'pace-ms': PACE_MS},
    editBase: (base) => {
      base['recovery'] = {weigh};
    },
  });
  try {
    for (let round = 0; round < rounds; round++) {
      await runRound({site, loss, round, streams, wait, tally});
    }
    const phases = await readPhases(site, loss);
    const cost = computeCost(tally);
    const completeShare = tally.complete / tally.answers;
    return {
      name: loss,
      kind: loss,
      wait,
      phases,
      cost,
      completeShare,
    };
  } finally {
    await site.close();
  }
}

async function runRound(options: {
  site: Site;
  loss: Loss;
  round: number;
  streams: number;
  wait: Samples;
  tally: Tally;
}): Promise<void> {
  const {site, loss, round, streams, wait, tally} = options;
  const urls = site.entries.map((entry) => entry.callersUrl);
  const reqs = Array.from({length: streams}, (_, i) => ({
    prompt: `round ${round} stream ${i} [length=${TOKENS}]`,
    maxTokens: TOKENS,
  }));
  const runningTargets = site.engines.filter((t) => t.standIn.proc.isRunning);
  const transcripts = reqs.map(() => createTranscript());
  const before = await readEngineCounts(runningTargets);
  const reading = reqs.map((req, i) =>
    readWithResume({urls, req, transcript: transcripts[i]!}),
  );
  const check = (): Promise<boolean> =>
    Promise.resolve(
      transcripts.every((t) => parsePosition(t) >= TOKENS_BEFORE_LOSS),
    );
  await waitUntil({what: 'all streams produce tokens', check});
  const lostTarget = chooseLostTarget(runningTargets, transcripts);
  const isLost = transcripts.map((t) => parseVm(t) === lostTarget.vm);
  const lossAtMs = performance.now();
  const recover = await injectLoss(lostTarget, loss);
  await Promise.all(reading);
  await recover();
  const others = runningTargets.filter((t) => t !== lostTarget);
  const after = await readEngineCounts(others);
  transcripts.forEach((transcript, i) => {
    if (isLost[i]) wait.add(findLongestGap(transcript, lossAtMs));
    tally.complete += Number(isComplete(reqs[i]!, transcript));
    tally.answers++;
    addAnswer({transcript, prompt: reqs[i]!.prompt, after, tally});
  });
  const snapshots = {before, after, targets: others};
  tally.decoded += computeGrowth(snapshots, (counts) => counts.tokensProduced);
  tally.prefilled += computeGrowth(snapshots, (counts) => counts.prefillTokens);
  if (loss === Loss.DEATH) return;
  const atLostTarget = {
    before,
    after: await readEngineCounts([lostTarget]),
    targets: [lostTarget],
  };
  tally.wastedDecodes += computeGrowth(
    atLostTarget,
    (counts) => counts.tokensProduced,
  );
}

function createTally(): Tally {
  return {
    prefilled: 0,
    decoded: 0,
    wastedDecodes: 0,
    lost: 0,
    contextTokens: 0,
    complete: 0,
    answers: 0,
  };
}

function computeCost(tally: Tally): ResumeCost {
  const {prefilled, decoded, wastedDecodes, lost, contextTokens} = tally;
  return {
    prefilled: prefilled / lost,
    decoded: decoded / lost,
    wastedDecodes: Math.max(0, wastedDecodes) / lost,
    extraPerPrefill: (prefilled + decoded) / contextTokens,
  };
}

/** Subtracts the computation that a generation needs without a loss. */
function addAnswer(options: {
  transcript: Transcript;
  prompt: string;
  after: ReadonlyMap<string, EngineCounts>;
  tally: Tally;
}): void {
  const {transcript, prompt, after, tally} = options;
  const requestId = transcript.lastEventId.split(':')[0];
  const resumes = [...after.values()]
    .flatMap((counts) => counts.requests)
    .filter((request) => request.requestId === requestId)
    .map((request) => request.resumedFrom);
  const lost = Math.max(0, ...resumes);
  const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
  tally.decoded -= TOKENS - lost;
  tally.wastedDecodes -= lost;
  tally.lost += lost;
  if (lost > 0) tally.contextTokens += lost + promptTokens;
  else tally.prefilled -= promptTokens;
}

/** Returns the increase of a counter between two readings, over all targets. */
function computeGrowth(
  options: {
    before: ReadonlyMap<string, EngineCounts>;
    after: ReadonlyMap<string, EngineCounts>;
    targets: readonly Target[];
  },
  read: (counts: EngineCounts) => number,
): number {
  const {before, after, targets} = options;
  return targets.reduce(
    (sum, {vm}) => sum + read(after.get(vm)!) - read(before.get(vm)!),
    0,
  );
}

async function injectLoss(
  {standIn, agent, targetRelay, agentRelay}: Target,
  loss: Loss,
): Promise<() => Promise<void>> {
  switch (loss) {
    case Loss.DEATH:
      standIn.proc.kill();
      return () => Promise.resolve();
    case Loss.FREEZE:
      agent.proc.pause();
      standIn.proc.pause();
      return () => {
        standIn.proc.resume();
        agent.proc.resume();
        return Promise.resolve();
      };
    case Loss.CUT:
      await Promise.all([
        controlRelay(agentRelay!, 'cut'),
        controlRelay(targetRelay!, 'cut'),
      ]);
      return async () => {
        await controlRelay(agentRelay!, 'mend');
        await controlRelay(targetRelay!, 'mend');
      };
  }
}

/** Returns the target with the most generations. */
function chooseLostTarget(
  targets: readonly Target[],
  transcripts: readonly Transcript[],
): Target {
  const countOf = (target: Target): number =>
    transcripts.filter((t) => parseVm(t) === target.vm).length;
  return targets.reduce((a, b) => (countOf(b) > countOf(a) ? b : a));
}

/** Returns the longest gap between arrivals that ends after `atMs`. */
function findLongestGap({arrivalsMs}: Transcript, atMs: number): number {
  let longestMs = 0;
  arrivalsMs.forEach((ms, i) => {
    if (i > 0 && ms > atMs)
      longestMs = Math.max(longestMs, ms - arrivalsMs[i - 1]!);
  });
  return longestMs;
}

function isComplete(req: CompletionRequest, transcript: Transcript): boolean {
  const {tokens} = expectedOutput({...req, stop: []});
  const text = tokens.map((token) => token.text).join('');
  const {doneEvents, restarts} = transcript;
  return transcript.text === text && doneEvents === 1 && restarts === 0;
}

function parseVm(transcript: Transcript): string {
  return transcript.lastEventId.split(':')[2] ?? '';
}

function parsePosition(transcript: Transcript): number {
  return Number(transcript.lastEventId.split(':').at(-1));
}

async function readEngineCounts(
  targets: readonly Target[],
): Promise<Map<string, EngineCounts>> {
  const read = async (target: Target): Promise<[string, EngineCounts]> => {
    const url = `${target.standIn.url}/counts`;
    return [target.vm, (await sendControl({url})) as EngineCounts];
  };
  return new Map(await Promise.all(targets.map(read)));
}

const RESUME_PHASES = ['detection', 'placement', 'first_token'];

/** Reads the quantiles of each resume phase from the entry's metrics. */
async function readPhases(site: Site, loss: Loss): Promise<CaseResult[]> {
  const url = `${site.entries[0]!.operatorsUrl}/metrics`;
  const res = await request(url);
  const lines = (await res.body.text()).split('\n');
  return RESUME_PHASES.map((phase) => {
    const read = (suffix: string): number => {
      const name = `resume_${phase}_seconds${suffix}`;
      const line = lines.find((text) => text.includes(name));
      return Number(line?.split(' ').at(-1) ?? 0);
    };
    const at = (q: string): number => read(`{quantile="${q}"}`) * MS_PER_SECOND;
    const name = `${loss}: ${phase.replace('_', ' ')}`;
    const n = read('_count');
    const p99 = at('0.99');
    return {
      name,
      unit: 'ms',
      n,
      p50: at('0.5'),
      p95: at('0.95'),
      p99,
      max: p99,
    };
  });
}
