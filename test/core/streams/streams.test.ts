import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import type {RawEvent} from '../../../src/core/streams/index.js';
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
  it('returns the same events for any chunks', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 12}),
        fc.array(fc.integer({min: 1, max: 30}), {maxLength: 40}),
        (count, chunkSizes) => {
          const ids = Array.from({length: count}, (_, i) => i + 1);
          const bytes = Buffer.from(ids.map(eventText).join(''));
          const splitter = new EventSplitter();
          const found: Array<{id?: number; text: string}> = [];
          let offset = 0;
          for (const size of [...chunkSizes, bytes.length]) {
            for (const event of splitter.push(
              bytes.subarray(offset, offset + size),
            )) {
              const text = Buffer.from(event.bytes).toString();
              found.push({id: event.id, text});
            }
            offset = Math.min(bytes.length, offset + size);
          }
          expect(found).toEqual(ids.map((id) => ({id, text: eventText(id)})));
          expect(splitter.pendingBytes).toBe(0);
        },
      ),
      {seed: SEED, numRuns: 1_000},
    );
  });

  it('passes on all bytes in order, events apart from bytes without data', () => {
    const block = fc.constantFrom(
      '\n',
      '\n\n',
      ':\n\n',
      ': comment\n\n',
      'retry: 5\n\n',
      'data: x\n\n',
      'weight-versions: 2\nid: 7\ndata: x\n\n',
    );
    fc.assert(
      fc.property(
        fc.array(block, {maxLength: 30}),
        fc.array(fc.integer({min: 1, max: 9}), {maxLength: 60}),
        (blocks, chunkSizes) => {
          const bytes = Buffer.from(blocks.join(''));
          const splitter = new EventSplitter();
          const events: RawEvent[] = [];
          let offset = 0;
          for (const size of [...chunkSizes, bytes.length]) {
            events.push(
              ...splitter.push(bytes.subarray(offset, offset + size)),
            );
            offset = Math.min(bytes.length, offset + size);
          }
          const passed = Buffer.concat(events.map((event) => event.bytes));
          expect(passed.toString()).toBe(
            bytes.subarray(0, bytes.length - splitter.pendingBytes).toString(),
          );
          for (const event of events) {
            const text = Buffer.from(event.bytes).toString();
            expect(event.hasData).toBe(text.includes('data:'));
          }
        },
      ),
      {seed: SEED, numRuns: 1_000},
    );
  });

  // Guards against streams of line breaks that fill the heap (review, case 3).
  it('returns bytes without data that follow each other as one', () => {
    const [idle, ...others] = new EventSplitter().push(
      Buffer.from('\n'.repeat(32_768)),
    );
    expect(others).toEqual([]);
    expect(idle).toMatchObject({hasData: false});
    expect(idle!.bytes).toHaveLength(32_768);
  });

  it('buffers an incomplete event', () => {
    const splitter = new EventSplitter();
    expect(splitter.push(Buffer.from('id: 1\ndata: half'))).toEqual([]);
    expect(splitter.pendingBytes).toBeGreaterThan(0);
  });
});

describe('EventSequence', () => {
  it('passes each event once and in order, from several targets', () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            from: fc.integer({min: 1, max: 8}),
            count: fc.integer({min: 1, max: 8}),
          }),
          {minLength: 1, maxLength: 8},
        ),
        (ranges) => {
          const sequence = new EventSequence({lastId: 0});
          const passed: number[] = [];
          for (const {from, count} of ranges) {
            for (let id = from; id < from + count; id++) {
              const check = sequence.check(id);
              if (check === SequenceCheck.GAP) break;
              if (check === SequenceCheck.PASS) passed.push(id);
            }
          }
          expect(passed).toEqual(passed.map((_, i) => i + 1));
        },
      ),
      {seed: SEED, numRuns: 2_000},
    );
  });

  it('cannot resume after an event without an id', () => {
    const sequence = new EventSequence({});
    expect(sequence.check(undefined)).toBe(SequenceCheck.PASS);
    expect(sequence.isResumable).toBe(false);
  });
});

describe('probe delay and stall timeout', () => {
  it.each([
    {widestGapMs: 0, probeMs: 130, stallMs: 300},
    {widestGapMs: 100, probeMs: 160, stallMs: 300},
    {widestGapMs: 170, probeMs: 272, stallMs: 425},
    {widestGapMs: 600, probeMs: 455, stallMs: 455},
  ])(
    'are $probeMs ms and $stallMs ms for gaps of $widestGapMs ms',
    ({widestGapMs, probeMs, stallMs}) => {
      const options = {maxPauseMs: 700, widestGapMs};
      expect(probeDelayMs(options)).toBeCloseTo(probeMs);
      expect(stallTimeoutMs(options)).toBeCloseTo(stallMs);
    },
  );

  it.each([
    {holdsRequest: false, hasCopy: true, stallMs: 300},
    {holdsRequest: false, hasCopy: false, stallMs: 300},
    {holdsRequest: true, hasCopy: true, stallMs: 455},
    {holdsRequest: true, hasCopy: false, stallMs: 1_400},
  ])(
    'of $stallMs ms if the request is held: $holdsRequest, copied: $hasCopy',
    ({holdsRequest, hasCopy, stallMs}) => {
      for (const widestGapMs of [0, 40]) {
        const query = {maxPauseMs: 700, widestGapMs, holdsRequest, hasCopy};
        expect(stallTimeoutMs(query)).toBeCloseTo(stallMs);
      }
    },
  );
});

describe('MinGenerationTime', () => {
  const sample = {
    promptTokens: 1_000,
    maxEvents: 100,
    events: 50,
    firstEventMs: 200,
    streamingMs: 490,
  };
  const need = {promptTokens: 5_000, maxEvents: 100, receivedEvents: 0};

  function createTimes(samples: number): MinGenerationTime {
    const times = new MinGenerationTime();
    for (let i = 0; i < samples; i++) times.addSample(sample);
    return times;
  }

  it('refuses no generation before it has enough samples', () => {
    expect(createTimes(4).cannotFinish({need, leftMs: 1})).toBe(false);
  });

  it.each([
    {name: 'a new generation', receivedEvents: 0, shortestMs: 1_500},
    {
      name: 'a generation with half of its expected events received',
      receivedEvents: 25,
      shortestMs: 1_250,
    },
    {
      name: 'a generation with more than its expected events received',
      receivedEvents: 60,
      shortestMs: 1_000,
    },
  ])('estimates $shortestMs ms for $name', ({receivedEvents, shortestMs}) => {
    const times = createTimes(5);
    expect(times.shortestMs({...need, receivedEvents})).toBeCloseTo(
      shortestMs,
      -1,
    );
  });

  it.each([
    {leftMs: 800, cannotFinish: true},
    {leftMs: 1_400, cannotFinish: false},
    {leftMs: 9_000, cannotFinish: false},
  ])(
    'returns $cannotFinish from cannotFinish if $leftMs ms remain',
    ({leftMs, cannotFinish}) => {
      expect(createTimes(9).cannotFinish({need, leftMs})).toBe(cannotFinish);
    },
  );
});
