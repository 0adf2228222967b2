import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import {
  EventSequence,
  EventSplitter,
  SequenceCheck,
  stallTimeoutMs,
  MinGenerationTime,
  probeDelayMs,
} from '../../../src/core/streams/index.js';

const SEED = 20261204;

const eventText = (id: number) => `id: ${id}\ndata: piece ${id}\n\n`;

describe('EventSplitter', () => {
  it('gives the same events however the bytes are cut', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 12}),
        fc.array(fc.integer({min: 1, max: 30}), {maxLength: 40}),
        (count, cuts) => {
          const ids = Array.from({length: count}, (_, i) => i + 1);
          const bytes = Buffer.from(ids.map(eventText).join(''));
          const splitter = new EventSplitter();
          const found: Array<{id?: number; text: string}> = [];
          let at = 0;
          for (const size of [...cuts, bytes.length]) {
            for (const event of splitter.push(bytes.subarray(at, at + size))) {
              const text = Buffer.from(event.bytes).toString();
              found.push({id: event.id, text});
            }
            at = Math.min(bytes.length, at + size);
          }
          expect(found).toEqual(ids.map((id) => ({id, text: eventText(id)})));
          expect(splitter.pendingBytes).toBe(0);
        },
      ),
      {seed: SEED, numRuns: 1_000},
    );
  });

  it('holds back half an event', () => {
    const splitter = new EventSplitter();
    expect(splitter.push(Buffer.from('id: 1\ndata: half'))).toEqual([]);
    expect(splitter.pendingBytes).toBeGreaterThan(0);
  });
});

describe('EventSequence', () => {
  it('passes each event once and in order, from any targets', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            from: fc.integer({min: 1, max: 8}),
            count: fc.integer({min: 1, max: 8}),
          }),
          {minLength: 1, maxLength: 8},
        ),
        (runs) => {
          const sequence = new EventSequence({lastId: 0});
          const passed: number[] = [];
          for (const {from, count} of runs) {
            for (let id = from; id < from + count; id++) {
              const verdict = sequence.check(id);
              if (verdict === SequenceCheck.GAP) break;
              if (verdict === SequenceCheck.PASS) passed.push(id);
            }
          }
          expect(passed).toEqual(passed.map((_, i) => i + 1));
        },
      ),
      {seed: SEED, numRuns: 2_000},
    );
  });

  it('cannot go on after an event without an id', () => {
    const sequence = new EventSequence({});
    expect(sequence.check(undefined)).toBe(SequenceCheck.PASS);
    expect(sequence.isResumable).toBe(false);
  });
});

describe('limits of silence', () => {
  it.each([
    {widestGapMs: 0, suspectMs: 130, stallMs: 300},
    {widestGapMs: 100, suspectMs: 160, stallMs: 300},
    {widestGapMs: 170, suspectMs: 272, stallMs: 425},
    {widestGapMs: 600, suspectMs: 455, stallMs: 455},
  ])('gaps of $widestGapMs ms', ({widestGapMs, suspectMs, stallMs}) => {
    const facts = {maxPauseMs: 700, widestGapMs};
    expect(probeDelayMs(facts)).toBeCloseTo(suspectMs);
    expect(stallTimeoutMs(facts)).toBeCloseTo(stallMs);
  });
});

describe('StreamTime', () => {
  const sample = {
    promptTokens: 1_000,
    maxEvents: 100,
    events: 50,
    firstEventMs: 200,
    streamingMs: 490,
  };
  const need = {promptTokens: 5_000, maxEvents: 100, receivedEvents: 0};

  function taught(samples: number): MinGenerationTime {
    const times = new MinGenerationTime();
    for (let i = 0; i < samples; i++) times.addSample(sample);
    return times;
  }

  it('holds nothing to be impossible before it knows', () => {
    expect(taught(4).cannotFinish({need, leftMs: 1})).toBe(false);
  });

  it.each([
    {name: 'a new one', receivedEvents: 0, shortestMs: 1_500},
    {name: 'half of it is there', receivedEvents: 25, shortestMs: 1_250},
    {name: 'all of it may be there', receivedEvents: 60, shortestMs: 1_000},
  ])('$name takes $shortestMs ms', ({receivedEvents, shortestMs}) => {
    const times = taught(5);
    expect(times.shortestMs({...need, receivedEvents})).toBeCloseTo(
      shortestMs,
      -1,
    );
  });

  it.each([
    {leftMs: 800, isHopeless: true},
    {leftMs: 1_400, isHopeless: false},
    {leftMs: 9_000, isHopeless: false},
  ])('$leftMs ms left: $isHopeless', ({leftMs, isHopeless}) => {
    expect(taught(9).cannotFinish({need, leftMs})).toBe(isHopeless);
  });
});
