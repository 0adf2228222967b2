/** Processor time of an entry for a call and for an event of a stream. */
import {SitePath} from '../../../stand-ins/site/config.js';
import {Samples} from '../../lib/samples.js';
import type {Experiment} from '../../lib/types.js';
import {EVENTS, Load, startSite} from './load.js';
import {MeasuredEntry} from './measured-entry.js';

const ROUNDS = 24;

/** Rounds that warm up the JIT compiler. */
const WARM_UP_ROUNDS = 8;

/** Loopback addresses of the entries. */
const ADDRESS = '127.22.0.1';
const OTHER_ADDRESS = '127.22.0.2';

/** What is measured; the time is divided by requests and `parts`. */
const KINDS = [
  {name: 'safe call', path: SitePath.SAFE, requests: 500, parts: 1},
  {name: 'unsafe call', path: SitePath.UNSAFE, requests: 500, parts: 1},
  {
    name: 'event of a stream',
    path: SitePath.STREAM,
    requests: 12,
    parts: EVENTS,
  },
];

/** Measures entries in turns, since load changes the figures of a machine. */
export const experiment: Experiment = {
  name: 'call-cost',
  summary: 'processor time of an entry for a call and an event of a stream',
  starts: 'an entry in a process of its own, or two; about 1 min',
  flags: [
    '--rounds N: rounds, 24 by default',
    '--other PATH: direct-main.js of another build, measured in turns',
  ],
  run: async ({flags}) => {
    const rounds = flags.number('rounds', ROUNDS);
    const program = flags.text('other', '');
    const subjects = [await Subject.start('', {address: ADDRESS})];
    try {
      if (program !== '') {
        const options = {address: OTHER_ADDRESS, program};
        subjects.push(await Subject.start(', other build', options));
      }
      await measureInTurns(subjects, rounds);
    } finally {
      for (const subject of subjects) await subject.entry.stop();
    }
    const [own, other] = subjects;
    const ratios = KINDS.map(({name}, k) => ({
      name: `${name}, to that of the other build`,
      value: own!.median(k) / (other?.median(k) ?? NaN),
    }));
    return {
      cases: subjects.flatMap(({samples}) => samples.map((s) => s.result())),
      ratios: other === undefined ? [] : ratios,
      bounds: [],
    };
  },
};

async function measureInTurns(
  subjects: readonly Subject[],
  rounds: number,
): Promise<void> {
  for (let round = -WARM_UP_ROUNDS; round < rounds; round++) {
    const order = round % 2 === 0 ? subjects : [...subjects].reverse();
    for (let k = 0; k < KINDS.length; k++) {
      for (const subject of order) await subject.measure(k, round >= 0);
    }
  }
}

/** An entry, its callers and what was measured of it. */
class Subject {
  readonly samples: readonly Samples[];
  private readonly load: Load;

  private constructor(
    suffix: string,
    readonly entry: MeasuredEntry,
  ) {
    this.load = new Load(entry.endpoint);
    this.samples = KINDS.map(
      ({name}) => new Samples({name: name + suffix, unit: 'us'}),
    );
  }

  static async start(
    suffix: string,
    options: {address: string; program?: string},
  ): Promise<Subject> {
    const {url} = await startSite();
    const store = new URL(url).host;
    const entry = await MeasuredEntry.start({...options, store});
    return new Subject(suffix, entry);
  }

  async measure(k: number, isCounted: boolean): Promise<void> {
    const {path, requests, parts} = KINDS[k]!;
    const beforeUs = this.entry.cpuUs();
    await this.load.run({path, requests});
    const usedUs = this.entry.cpuUs() - beforeUs;
    if (isCounted) this.samples[k]!.add(usedUs / (requests * parts));
  }

  median(k: number): number {
    return this.samples[k]!.percentile(50);
  }
}
