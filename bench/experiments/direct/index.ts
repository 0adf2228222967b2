/** Gaps between tokens through an entry and an agent, and without them. */
import {Site} from '../../../tools/lab/site.js';
import {createTranscript, readStream} from '../../../tools/lab/caller.js';
import {Samples} from '../../lib/samples.js';
import type {Experiment} from '../../lib/types.js';

/** Time between two tokens of an engine. */
const PACE_MS = 50;
/** Tokens per stream. */
const TOKENS = 60;
const STREAMS = 20;

/** Compares token gaps through the system with those directly at the engines. */
export const experiment: Experiment = {
  name: 'direct',
  summary: 'gap between tokens, through the system and straight to an engine',
  starts: 'a platform, 2 engines, 2 agents, 1 entry; about 10 s',
  flags: ['--streams N: streams at once, 20 by default'],
  run: async ({flags}) => {
    const streams = flags.number('streams', STREAMS);
    const site = await Site.create({
      entries: 1,
      engineFlags: {'pace-ms': PACE_MS, capacity: streams},
    });
    try {
      const engines = site.engines.map((target) => target.standIn.url);
      const entries = site.entries.map((entry) => entry.callersUrl);
      const direct = await measure('straight', engines, streams);
      const relayed = await measure('relayed', entries, streams);
      const p95Ratio = relayed.percentile(95) / direct.percentile(95);
      return {
        cases: [direct.result(), relayed.result()],
        ratios: [{name: 'p95 relayed / straight', value: p95Ratio}],
        bounds: [],
      };
    } finally {
      await site.close();
    }
  },
};

async function measure(
  name: string,
  urls: readonly string[],
  streams: number,
): Promise<Samples> {
  const samples = new Samples({name, unit: 'ms'});
  const readings = Array.from({length: streams}, async (_, i) => {
    const transcript = createTranscript();
    const url = urls[i % urls.length]!;
    const prompt = `stream ${i} [length=${TOKENS}]`;
    await readStream({url, req: {prompt, maxTokens: TOKENS}, transcript});
    const {arrivalsMs} = transcript;
    arrivalsMs.slice(1).forEach((ms, k) => samples.add(ms - arrivalsMs[k]!));
  });
  await Promise.all(readings);
  return samples;
}
