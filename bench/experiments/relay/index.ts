/** Increase of the gap between tokens when an entry and an agent relay them. */
import type {Experiment} from '../../lib/types.js';
import {startStreamLoad} from './load.js';

/** Maximum increase of the 95th percentile of the gap, in milliseconds. */
const MAX_ADDED_P95_MS = 5;

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
    const load = await startStreamLoad({streams, engines});
    try {
      const direct = await load.measure('straight', load.engineUrls);
      const relayed = await load.measure('relayed', load.entryUrls);
      const addedP95 = relayed.gaps.percentile(95) - direct.gaps.percentile(95);
      const p95Ratio = relayed.gaps.percentile(95) / direct.gaps.percentile(95);
      return {
        cases: [direct.gaps.result(), relayed.gaps.result()],
        ratios: [
          {name: 'p95 relayed / straight', value: p95Ratio},
          {name: 'whole answers, straight', value: direct.completeShare},
          {name: 'whole answers, relayed', value: relayed.completeShare},
        ],
        bounds: [
          {
            name: 'added gap at p95, ms',
            stated: MAX_ADDED_P95_MS,
            measured: addedP95,
            holds: addedP95 <= MAX_ADDED_P95_MS,
          },
        ],
      };
    } finally {
      await load.close();
    }
  },
};
