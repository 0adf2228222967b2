/** What a lost target costs that ran a request with a long prompt. */
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import {
  LossLedger,
  MAX_NAMED_PARTS,
  PromptIndex,
  ServedRequests,
} from '../../src/core/poison/index.js';
import {LostPrompts} from '../../src/direct/poison/lost-prompts.js';

/** Requests that lose a target each, at all entries by turns. */
const CRASHES = 5;

/** Characters of what an entry stores of its losses, whatever the prompts. */
const MAX_STORED_CHARS = 64 * 1024;

const numbered = (prefix: string, count: number) =>
  Array.from({length: count}, (_, i) => `${prefix}${i}`);

/** One entry, as far as it records losses. */
class LossEntry {
  readonly clock = new ManualClock();
  readonly ledger = new LossLedger({clock: this.clock});
  private readonly served = new ServedRequests({clock: this.clock});
  private readonly lost = new LostPrompts({
    ledger: this.ledger,
    hasServed: (key) => this.served.has(key),
    onNamed: () => undefined,
  });

  serve(prompt: readonly string[]): void {
    this.served.addPrompt(indexOf(prompt));
  }

  lose(request: string, incarnation: string, prompt: readonly string[]): void {
    const all = indexOf(prompt).suspects;
    const promptParts = all.filter(({key}) => !this.served.has(key));
    const suspects = this.lost.suspectsOf({request, promptParts});
    expect(suspects.promptParts.length).toBeLessThanOrEqual(MAX_NAMED_PARTS);
    const keys = [
      {suspect: request},
      ...suspects.promptParts.map(({key, position}) => ({
        suspect: key,
        part: {by: request, position},
      })),
    ];
    for (const key of keys) {
      this.ledger.recordLoss({...key, incarnation});
      this.ledger.confirm({...key, incarnation});
    }
    this.lost.record(suspects);
  }

  read(others: readonly LossEntry[]): void {
    for (const [i, other] of others.entries())
      if (other !== this)
        this.ledger.updateEntry(`entry-${i}`, other.ledger.toRecordedLosses());
    this.lost.chooseAgain();
  }
}

function indexOf(prompt: readonly string[]): PromptIndex {
  return new PromptIndex([...prompt, 'last'].map((id) => ({id, tokens: 1})));
}

/** Key of a prompt part. */
function keyOf(id: string): string {
  return indexOf([id]).suspects[0]!.key;
}

/** Prompts of requests that crash targets, and those of sound ones. */
const CASES = [
  {
    name: 'after 17 others',
    poison: () => [...numbered('s', 17), 'bad'],
    sound: numbered('s', 17),
  },
  {
    name: 'after 1,499 others',
    poison: () => [...numbered('s', 1_499), 'bad'],
    sound: numbered('s', 1_499),
  },
  {
    name: 'before 1,499 others',
    poison: () => ['bad', ...numbered('s', 1_499)],
    sound: numbered('s', 1_499),
  },
  {
    name: 'among 1,400 of one talk each, at different places',
    poison: (i: number) => [
      ...numbered(`t${i}x`, 280 * i),
      'bad',
      ...numbered(`u${i}x`, 1_400 - 280 * i),
    ],
    sound: [],
  },
  {
    name: 'among 5,000 of one talk each',
    poison: (i: number) => [
      ...numbered(`t${i}x`, 2_500),
      'bad',
      ...numbered(`u${i}x`, 2_500),
    ],
    sound: [],
  },
];

describe('a part of a long prompt that crashes targets', () => {
  let entries: LossEntry[];

  beforeEach(() => {
    entries = Array.from({length: CRASHES}, () => new LossEntry());
  });

  // Guards against parts that were no suspects from the 17th on (review/12).
  it.each(CASES)('is blamed by all entries: $name', ({poison, sound}) => {
    if (sound.length > 0) for (const entry of entries) entry.serve(sound);
    entries.forEach((entry, i) => {
      entry.lose(`r${i}`, `i-${i}@1`, poison(i));
      entry.read(entries);
    });
    for (const entry of entries) entry.read(entries);
    const ids = new Set(entries.flatMap((_, i) => poison(i)));
    for (const {ledger} of entries) {
      const blamed = [...ids].filter((id) => ledger.isPoison(keyOf(id)));
      expect(blamed).toEqual(['bad']);
      expect([...ledger.partSuspects()]).toContain(keyOf('bad'));
    }
  });

  it.each([20, 200, 1_500, 6_000])('costs no more among %i others', (count) => {
    const [entry] = entries;
    for (let i = 0; i < 40; i++)
      entry!.lose(`r${i}`, `i-${i}@1`, [...numbered(`t${i}x`, count), 'bad']);
    const recorded = entry!.ledger.toRecordedLosses();
    const named = recorded.losses.filter(({part}) => part !== undefined);
    expect(named.length).toBeLessThanOrEqual(40 * MAX_NAMED_PARTS);
    const stored = JSON.stringify(recorded.prompts).length;
    expect(stored).toBeLessThan(MAX_STORED_CHARS);
  });

  it('is one of two, each of which is blamed', () => {
    const more = Array.from({length: CRASHES}, () => new LossEntry());
    const all = [...entries, ...more];
    const culprit = (i: number) => (i % 2 === 0 ? 'bad' : 'worse');
    all.forEach((entry, i) => {
      const own = numbered(`t${i}x`, 300);
      entry.lose(`r${i}`, `i-${i}@1`, [culprit(i), ...own]);
      entry.read(all);
    });
    for (const entry of all) entry.read(all);
    for (const [i, {ledger}] of all.entries()) {
      const [mine, other] = i % 2 === 0 ? ['bad', 'worse'] : ['worse', 'bad'];
      expect(ledger.isPoison(keyOf(mine))).toBe(true);
      expect(ledger.isPoison(keyOf(other))).toBe(true);
    }
  });

  it('is not blamed for targets that turned out to run', () => {
    entries.forEach((entry, i) => {
      const prompt = [...numbered(`t${i}x`, 300), 'bad'];
      entry.lose(`r${i}`, `i-${i}@1`, prompt);
      entry.read(entries);
    });
    const [first] = entries;
    for (const i of entries.keys()) first!.ledger.recordRunning(`i-${i}@1`);
    expect(first!.ledger.mayBePoison(keyOf('bad'))).toBe(false);
  });
});
