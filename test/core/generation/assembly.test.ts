import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {SeededRandom} from '../../../src/core/clock/index.js';
import type {Token} from '../../../src/core/edges/index.js';
import {FinishReason} from '../../../src/core/edges/index.js';
import {
  Assembly,
  LogState,
  StepKind,
  TokenLog,
} from '../../../src/core/generation/index.js';

const SEED = 20261204;
const RUNS = 500;
const SCHEDULES_PER_RUN = 250;

/** A word of an attempt on its way. */
interface Word {
  readonly attemptId: string;
  readonly position: number;
  readonly tokens: readonly Token[];
  /** Set on the final word. */
  readonly finish?: FinishReason;
}

/** What happens next at the entry. */
type Event = {word: Word} | {begin: string};

interface Schedule {
  readonly maxTokens: number;
  readonly events: readonly Event[];
}

/** Ids tell the attempt that wrote them, so that any mix shows. */
function tokenOf(attempt: number, position: number): Token {
  return {id: attempt * 1_000 + position, text: `${attempt}.${position} `};
}

/**
 * Draws a schedule: attempts begin one after another while the words of all
 * of them are lost, doubled, delayed, put out of order and crossed.
 */
function drawSchedule(random: SeededRandom): Schedule {
  const maxTokens = 1 + random.below(8);
  const attempts = 1 + random.below(4);
  const timed: Array<{atMs: number; event: Event}> = [];
  for (let attempt = 0; attempt < attempts; attempt++) {
    const beginMs = attempt * random.below(12);
    const attemptId = `a${attempt}`;
    timed.push({atMs: beginMs, event: {begin: attemptId}});
    const from = random.below(maxTokens + 1);
    const words = drawWords({random, attempt, from, maxTokens});
    words.forEach((word, i) => {
      const copies = random.below(8) === 0 ? 2 : Number(random.below(7) > 0);
      const isLate = random.below(4) === 0;
      for (let copy = 0; copy < copies; copy++) {
        const delayMs = isLate ? random.below(20) : 0;
        timed.push({atMs: beginMs + i + 1 + delayMs, event: {word}});
      }
    });
  }
  timed.sort((a, b) => a.atMs - b.atMs);
  return {maxTokens, events: timed.map(({event}) => event)};
}

function drawWords(options: {
  random: SeededRandom;
  attempt: number;
  from: number;
  maxTokens: number;
}): Word[] {
  const {random, attempt, from, maxTokens} = options;
  const attemptId = `a${attempt}`;
  const words: Word[] = [];
  let position = from;
  while (position < maxTokens) {
    const count = 1 + random.below(3);
    const length = Math.min(count, maxTokens - position);
    const tokens = Array.from({length}, (_, i) =>
      tokenOf(attempt, position + i),
    );
    words.push({attemptId, position, tokens});
    position += length;
  }
  const early = random.below(6) === 0;
  const finish = early ? FinishReason.STOP : FinishReason.LENGTH;
  words.push({attemptId, position, tokens: [], finish});
  return words;
}

/** The naive twin: one token at a time, from all that ever came. */
class NaiveAnswer {
  readonly ids: number[] = [];
  finishes = 0;
  private current = '';
  private dropped = false;
  private startedAt = 0;

  constructor(private readonly maxTokens: number) {}

  begin(attemptId: string): void {
    this.current = attemptId;
    this.dropped = false;
    this.startedAt = this.ids.length;
  }

  take({attemptId, position, tokens, finish}: Word): void {
    if (this.finishes > 0 || this.dropped) return;
    if (attemptId !== this.current) return;
    if (position > this.ids.length) {
      this.dropped = true;
      return;
    }
    tokens.forEach(({id}, i) => {
      if (position + i === this.ids.length) this.ids.push(id);
    });
    if (finish === undefined) return;
    const whole = position === this.ids.length;
    if (whole && this.believes(finish)) this.finishes++;
    else this.dropped = true;
  }

  /** An answer of fewer tokens than the window is all "shortly after". */
  private believes(finish: FinishReason): boolean {
    if (finish === FinishReason.LENGTH) {
      return this.ids.length === this.maxTokens;
    }
    return this.startedAt === 0 || this.startedAt === this.ids.length;
  }
}

/** Plays a schedule against both and returns how often it finished. */
function play(schedule: Schedule): number {
  const {maxTokens, events} = schedule;
  const log = new TokenLog();
  const assembly = new Assembly({log, spec: {maxTokens, stop: []}});
  const naive = new NaiveAnswer(maxTokens);
  let finishes = 0;
  for (const event of events) {
    if ('begin' in event) {
      if (log.state !== LogState.RUNNING) continue;
      assembly.begin(event.begin);
      naive.begin(event.begin);
      continue;
    }
    const {word} = event;
    const {attemptId, position: length, finish: finishReason} = word;
    const step =
      finishReason === undefined
        ? assembly.receiveTokens(word)
        : assembly.receiveEnd({attemptId, length, finishReason});
    if (step.kind === StepKind.BROKEN) assembly.clearAttempt();
    if (step.kind === StepKind.UNCONFIRMED) assembly.clearAttempt();
    if (step.kind === StepKind.FINISHED) finishes++;
    naive.take(word);
  }
  const ids = log.slice({from: 0}).map((token) => token.id);
  if (ids.join() !== naive.ids.join() || finishes !== naive.finishes) {
    throw new Error(`got ${ids.join()}, expected ${naive.ids.join()}`);
  }
  // Every token stands at its own position.
  ids.forEach((id, position) => {
    if (id % 1_000 !== position) throw new Error(`${id} at ${position}`);
  });
  return finishes;
}

describe('Assembly', () => {
  it(`is its naive twin (seed ${SEED})`, () => {
    let finished = 0;
    let played = 0;
    fc.assert(
      fc.property(fc.integer(), (seed) => {
        const random = new SeededRandom(seed);
        for (let i = 0; i < SCHEDULES_PER_RUN; i++) {
          finished += play(drawSchedule(random));
          played++;
        }
      }),
      {numRuns: RUNS, seed: SEED},
    );
    expect(played).toBeGreaterThanOrEqual(100_000);
    expect(finished).toBeGreaterThan(0);
  });
});
