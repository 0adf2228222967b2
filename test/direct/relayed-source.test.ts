/** Which way a wait for changes goes, and what the followers are told. */
import type {Result} from 'neverthrow';
import {err, ok, okAsync, ResultAsync} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import type {
  ChangeQuery,
  ChangeSet,
  SourceError,
} from '../../src/core/edges/state-source.js';
import {SourceErrorKind} from '../../src/core/edges/state-source.js';
import {ChangeLog, LogAnswer} from '../../src/core/relay/index.js';
import type {AskResult} from '../../src/direct/relay/relayed-source.js';
import {
  AskOutcome,
  RelayedSource,
} from '../../src/direct/relay/relayed-source.js';

type Read = Result<ChangeSet<unknown>, SourceError>;

const SEED = 20261204;
const QUERY: ChangeQuery = {since: 40, waitMs: 2_000};
const STORE_WAIT_MS = 500;

const CHANGES: ChangeSet<unknown> = {
  changes: [{name: 'main', value: 7, isDeleted: false}],
  revision: 42,
};

const failure = (kind: SourceErrorKind): Read =>
  err({kind, detail: 'scripted'});

describe('RelayedSource', () => {
  let clock: ManualClock;
  let log: ChangeLog;
  /** Results of the waits at the store, and how long each takes. */
  let reads: Array<{read: Read; takesMs: number}>;
  let waits: number[];
  let published: LogAnswer[];
  let outcomes: boolean[];
  let asks: number;

  beforeEach(() => {
    clock = new ManualClock();
    log = new ChangeLog({clock});
    reads = [];
    waits = [];
    published = [];
    outcomes = [];
    asks = 0;
  });

  const createSource = (asked: AskResult, maxAsks: number) =>
    new RelayedSource({
      store: {
        list: () => okAsync({items: [], revision: 40}),
        waitForChanges: ({waitMs}) => {
          waits.push(waitMs);
          const {read, takesMs} = reads.shift()!;
          clock.advance(takesMs);
          return new ResultAsync(Promise.resolve(read));
        },
      },
      log,
      storeWaitMs: () => STORE_WAIT_MS,
      clock,
      random: new SeededRandom(SEED),
      maxAsks,
      ask: () => {
        asks++;
        return Promise.resolve(asked);
      },
      onLogChanged: () => published.push(log.answer(QUERY.since)),
      onStoreOutcome: (isSuccess) => outcomes.push(isSuccess),
    });

  const wait = async (asked: AskResult, maxAsks = 1): Promise<Read> => {
    let result: Read | undefined;
    void createSource(asked, maxAsks)
      .waitForChanges(QUERY)
      .then((r) => (result = r));
    for (let i = 0; result === undefined && i < 100; i++) {
      await Promise.resolve();
      clock.advance(1);
    }
    for (let i = 0; result === undefined && i < 400; i++) {
      clock.advance(1);
      await Promise.resolve();
    }
    return result!;
  };

  it('passes on what another entry tells, without a call to the store', async () => {
    const changes = {...CHANGES, currentAtMs: -3};
    const read = await wait({outcome: AskOutcome.ANSWERED, changes});
    expect(read._unsafeUnwrap()).toEqual(changes);
    expect(waits).toEqual([]);
  });

  it.each([{outcome: AskOutcome.NONE}, {outcome: AskOutcome.FAILED}] as const)(
    'reads the store if the outcome of asking is $outcome',
    async (asked) => {
      reads = [{read: ok(CHANGES), takesMs: 10}];
      const read = await wait(asked);
      expect(read._unsafeUnwrap()).toEqual(CHANGES);
      expect(waits).toEqual([STORE_WAIT_MS]);
      expect(published).toEqual([LogAnswer.CHANGES]);
      expect(outcomes).toEqual([true]);
    },
  );

  it.each([
    {outcome: AskOutcome.FAILED, expectedAsks: 3},
    {outcome: AskOutcome.NONE, expectedAsks: 1},
  ] as const)(
    'asks $expectedAsks times if the outcome is always $outcome',
    async ({outcome, expectedAsks}) => {
      reads = [{read: ok(CHANGES), takesMs: 10}];
      await wait({outcome}, 3);
      expect(asks).toBe(expectedAsks);
    },
  );

  it('repeats a wait that was cut off, and tells its followers nothing', async () => {
    const cutOff = failure(SourceErrorKind.UNAVAILABLE);
    reads = [
      {read: cutOff, takesMs: 100},
      {read: ok(CHANGES), takesMs: 10},
    ];
    const read = await wait({outcome: AskOutcome.NONE});
    expect(read._unsafeUnwrap()).toEqual(CHANGES);
    expect(published).toEqual([LogAnswer.CHANGES]);
    expect(outcomes).toEqual([true]);
  });

  it.each([
    {
      name: 'cut off twice',
      results: [SourceErrorKind.UNAVAILABLE, SourceErrorKind.UNAVAILABLE],
      takesMs: 10,
      outcomes: [false],
    },
    {
      name: 'not answered in time',
      results: [SourceErrorKind.UNAVAILABLE],
      takesMs: STORE_WAIT_MS,
      outcomes: [false],
    },
    {
      name: 'refused, as the history is lost',
      results: [SourceErrorKind.HISTORY_LOST],
      takesMs: 10,
      outcomes: [],
    },
  ])(
    'fails and tells its followers if the wait is $name',
    async ({results, takesMs, outcomes: expected}) => {
      reads = results.map((kind) => ({read: failure(kind), takesMs}));
      const read = await wait({outcome: AskOutcome.NONE});
      expect(read.isErr()).toBe(true);
      expect(reads).toEqual([]);
      expect(published).toEqual([LogAnswer.NOT_READING]);
      expect(outcomes).toEqual(expected);
    },
  );

  it('stops reading for others once another entry answers', async () => {
    log.startReading(40);
    const changes = {...CHANGES, currentAtMs: 0};
    await wait({outcome: AskOutcome.ANSWERED, changes});
    expect(published).toEqual([LogAnswer.NOT_READING]);
  });
});
