/** Increase of the gap between tokens by relaying through entry and agent. */
import type {Experiment} from '../../lib/types.js';
import {createLoad} from './load.js';

/** Maximum increase of the 95th percentile of the gap, in milliseconds. */
const ADDED_P95_MS = 5;

const STREAMS = 1_500;
const ENGINES = 4;

/** Compares gaps through one entry with gaps directly at the engines. */
export const experiment: Experiment = {
  name: 'relay',
  summary: 'what one entry adds to the gap between tokens under full load',
  starts: 'a platform, 4 engines with agents, 1 entry, 4 readers; about 40 s',
  flags: [
    `--streams N: answers at once, ${STREAMS} by default`,
    `--engines N: engines with agents, ${ENGINES} by default`,
  ],
  run: async ({flags}) => {
    const streams = flags.number('streams', STREAMS);
    const engines = flags.number('engines', ENGINES);
    const load = await createLoad({streams, engines});
    try {
      const straight = await load.measure('straight', load.engineUrls);
      const relayed = await load.measure('relayed', load.entryUrls);
      const p95 = relayed.gaps.percentile(95) - straight.gaps.percentile(95);
      const value = relayed.gaps.percentile(95) / straight.gaps.percentile(95);
      return {
        cases: [straight.gaps.result(), relayed.gaps.result()],
        ratios: [
          {name: 'p95 relayed / straight', value},
          {name: 'whole answers, straight', value: straight.wholeShare},
          {name: 'whole answers, relayed', value: relayed.wholeShare},
        ],
        bounds: [
          {
            name: 'added gap at p95, ms',
            stated: ADDED_P95_MS,
            measured: p95,
            holds: p95 <= ADDED_P95_MS,
          },
        ],
      };
    } finally {
      await load.close();
    }
  },
};
