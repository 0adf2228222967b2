/**
 * Compares the assembly of outputs with a simple reference model. Guards
 * against tokens that are lost, duplicated or mixed up between attempts.
 */
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

/** A message of an attempt in transit. */
interface AttemptMessage {
  readonly attemptId: string;
  readonly position: number;
  readonly tokens: readonly Token[];
  /** Set on the final message. */
  readonly finish?: FinishReason;
}

/** An event at the entry. */
type ScheduleEvent = {message: AttemptMessage} | {begin: string};

/** Events in the order in which the entry receives them. */
interface Schedule {
  readonly maxTokens: number;
  readonly events: readonly ScheduleEvent[];
}

/** Token ids contain attempt and position, so that mix-ups are detected. */
function tokenOf(attempt: number, position: number): Token {
  return {id: attempt * 1_000 + position, text: `${attempt}.${position} `};
}

/**
 * Draws a schedule: attempts begin one after another while messages of all of
 * them are lost, duplicated, delayed, reordered and interleaved.
 */
function drawSchedule(random: SeededRandom): Schedule {
  const maxTokens = 1 + random.below(8);
  const attempts = 1 + random.below(4);
  const timed: Array<{atMs: number; event: ScheduleEvent}> = [];
  for (let attempt = 0; attempt < attempts; attempt++) {
    const beginMs = attempt * random.below(12);
    const attemptId = `a${attempt}`;
    timed.push({atMs: beginMs, event: {begin: attemptId}});
    const from = random.below(maxTokens + 1);
    const messages = drawMessages({random, attempt, from, maxTokens});
    messages.forEach((message, i) => {
      const copies = random.below(8) === 0 ? 2 : Number(random.below(7) > 0);
      const isLate = random.below(4) === 0;
      for (let copy = 0; copy < copies; copy++) {
        const delayMs = isLate ? random.below(20) : 0;
        timed.push({atMs: beginMs + i + 1 + delayMs, event: {message}});
      }
    });
  }
  timed.sort((a, b) => a.atMs - b.atMs);
  return {maxTokens, events: timed.map(({event}) => event)};
}

function drawMessages(options: {
  random: SeededRandom;
  attempt: number;
  from: number;
  maxTokens: number;
}): AttemptMessage[] {
  const {random, attempt, from, maxTokens} = options;
  const attemptId = `a${attempt}`;
  const messages: AttemptMessage[] = [];
  let position = from;
  while (position < maxTokens) {
    const count = 1 + random.below(3);
    const length = Math.min(count, maxTokens - position);
    const tokens = Array.from({length}, (_, i) =>
      tokenOf(attempt, position + i),
    );
    messages.push({attemptId, position, tokens});
    position += length;
  }
  const isEarly = random.below(6) === 0;
  const finish = isEarly ? FinishReason.STOP : FinishReason.LENGTH;
  messages.push({attemptId, position, tokens: [], finish});
  return messages;
}

/** Reference model: adds one token at a time. */
class ReferenceOutput {
  readonly ids: number[] = [];
  finishes = 0;
  private currentId = '';
  private isDropped = false;
  private startPosition = 0;

  constructor(private readonly maxTokens: number) {}

  begin(attemptId: string): void {
    this.currentId = attemptId;
    this.isDropped = false;
    this.startPosition = this.ids.length;
  }

  receive({attemptId, position, tokens, finish}: AttemptMessage): void {
    if (this.finishes > 0 || this.isDropped) return;
    if (attemptId !== this.currentId) return;
    if (position > this.ids.length) {
      this.isDropped = true;
      return;
    }
    tokens.forEach(({id}, i) => {
      if (position + i === this.ids.length) this.ids.push(id);
    });
    if (finish === undefined) return;
    const isComplete = position === this.ids.length;
    if (isComplete && this.acceptsEnd(finish)) this.finishes++;
    else this.isDropped = true;
  }

  /** Outputs are shorter than EARLY_END_WINDOW, so any end is early. */
  private acceptsEnd(finish: FinishReason): boolean {
    if (finish === FinishReason.LENGTH) {
      return this.ids.length === this.maxTokens;
    }
    return this.startPosition === 0 || this.startPosition === this.ids.length;
  }
}

/** Runs a schedule on the assembly and the model; returns the finish count. */
function runSchedule(schedule: Schedule): number {
  const {maxTokens, events} = schedule;
  const log = new TokenLog();
  const assembly = new Assembly({log, spec: {maxTokens, stop: []}});
  const reference = new ReferenceOutput(maxTokens);
  let finishes = 0;
  for (const event of events) {
    if ('begin' in event) {
      if (log.state !== LogState.RUNNING) continue;
      assembly.begin(event.begin);
      reference.begin(event.begin);
      continue;
    }
    const {message} = event;
    const {attemptId, position: length, finish: finishReason} = message;
    const step =
      finishReason === undefined
        ? assembly.receiveTokens(message)
        : assembly.receiveEnd({attemptId, length, finishReason});
    if (step.kind === StepKind.BROKEN) assembly.clearAttempt();
    if (step.kind === StepKind.UNCONFIRMED) assembly.clearAttempt();
    if (step.kind === StepKind.FINISHED) finishes++;
    reference.receive(message);
  }
  const ids = log.slice({from: 0}).map((token) => token.id);
  if (ids.join() !== reference.ids.join() || finishes !== reference.finishes) {
    throw new Error(`got ${ids.join()}, expected ${reference.ids.join()}`);
  }
  // Every token is at its own position.
  ids.forEach((id, position) => {
    if (id % 1_000 !== position) throw new Error(`${id} at ${position}`);
  });
  return finishes;
}

describe('Assembly', () => {
  it(`agrees with the reference model (seed ${SEED})`, () => {
    let finished = 0;
    let schedules = 0;
    fc.assert(
      fc.property(fc.integer(), (seed) => {
        const random = new SeededRandom(seed);
        for (let i = 0; i < SCHEDULES_PER_RUN; i++) {
          finished += runSchedule(drawSchedule(random));
          schedules++;
        }
      }),
      {numRuns: RUNS, seed: SEED},
    );
    expect(schedules).toBeGreaterThanOrEqual(100_000);
    expect(finished).toBeGreaterThan(0);
  });
});
