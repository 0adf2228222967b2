import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../../src/core/clock/index.js';
import type {
  ChangeSet,
  Snapshot,
  SourceError,
  StateSource,
} from '../../../src/core/edges/state-source.js';
import {SourceErrorKind} from '../../../src/core/edges/state-source.js';
import {Follower} from '../../../src/core/sync/index.js';
import {silentSupervisor} from '../../support/supervisor.js';

const WAIT_MS = 1_500;
const PAUSE_MS = 700;

/** A scripted response to a wait for changes. */
type Step =
  | {
      readonly waitMs: number;
      readonly changes: readonly string[];
      /** Set if another process has read the changes. */
      readonly currentAtMs?: number;
    }
  | {
      readonly fails: SourceErrorKind;
      /** Epoch of the lists from now on. */
      readonly epoch?: number;
    };

/** Returns scripted responses in order and records the calls. */
class ScriptedSource implements StateSource<string> {
  readonly calls: Array<{call: string; atMs: number}> = [];
  /** Requested lengths of the waits, in milliseconds. */
  readonly waits: number[] = [];
  private revision = 10;
  private epoch = 1;

  constructor(
    private readonly clock: ManualClock,
    private readonly steps: Step[],
  ) {}

  list(): ResultAsync<Snapshot<string>, SourceError> {
    this.calls.push({call: 'list', atMs: this.clock.now()});
    const items = [{name: 'x', value: `as of ${this.revision}`}];
    const {revision, epoch} = this;
    return okAsync({items, revision, epoch});
  }

  waitForChanges(options: {
    since: number;
    waitMs: number;
  }): ResultAsync<ChangeSet<string>, SourceError> {
    this.calls.push({call: `wait ${options.since}`, atMs: this.clock.now()});
    this.waits.push(options.waitMs);
    const step = this.steps.shift();
    if (step === undefined) return neverAsync();
    if ('fails' in step) {
      this.epoch = step.epoch ?? this.epoch;
      return errAsync({kind: step.fails, detail: 'scripted'});
    }
    this.clock.advance(step.waitMs);
    const changes = step.changes.map((value) => ({
      name: 'x',
      value,
      isDeleted: false,
    }));
    const {currentAtMs} = step;
    return okAsync({changes, revision: ++this.revision, currentAtMs});
  }
}

function neverAsync(): ResultAsync<ChangeSet<string>, SourceError> {
  return ResultAsync.fromSafePromise(
    new Promise<ChangeSet<string>>(() => undefined),
  );
}

async function runFollower(steps: Step[]) {
  const clock = new ManualClock();
  const source = new ScriptedSource(clock, steps);
  const values: string[] = [];
  const confirmed: number[] = [];
  const outages: boolean[] = [];
  const restored: boolean[] = [];
  const follower = new Follower<string>({
    source,
    clock,
    supervisor: silentSupervisor(clock),
    random: new SeededRandom(1),
    waitMs: WAIT_MS,
    pauseMs: PAUSE_MS,
    listener: {
      onSnapshot: (items, {afterOutage, isRestored}) => {
        restored.push(isRestored);
        values.push(...items.map((item) => item.value!));
        outages.push(afterOutage);
      },
      onChanges: (changes) => values.push(...changes.map((c) => c.value!)),
      onConfirmed: ({atMs}) => confirmed.push(atMs),
      onError: () => undefined,
    },
  });
  follower.start();
  for (let i = 0; i < 60; i++) {
    await Promise.resolve();
    if (i % 6 === 5) clock.advance(100);
  }
  follower.stop();
  const {calls, waits} = source;
  return {calls, waits, values, confirmed, outages, restored};
}

describe('Follower', () => {
  it('lists, then waits from the revision of the list', async () => {
    const {calls, values} = await runFollower([{waitMs: 5, changes: ['new']}]);
    expect(calls[0]!.call).toBe('list');
    expect(calls[1]!.call).toBe('wait 10');
    expect(values).toEqual(['as of 10', 'new']);
  });

  it.each([{changeMs: 5}, {changeMs: 1_200}])(
    'pauses after a change that came $changeMs ms into a wait',
    async ({changeMs}) => {
      const {calls} = await runFollower([
        {waitMs: changeMs, changes: ['a']},
        {waitMs: 5, changes: ['b']},
      ]);
      const waits = calls.filter(({call}) => call.startsWith('wait'));
      expect(waits[1]!.atMs - waits[0]!.atMs).toBeGreaterThanOrEqual(
        changeMs + PAUSE_MS,
      );
    },
  );

  it('does not pause after changes that another process has read', async () => {
    const {calls, confirmed} = await runFollower([
      {waitMs: 5, changes: ['a'], currentAtMs: 3},
      {waitMs: 5, changes: ['b'], currentAtMs: 8},
    ]);
    const waits = calls.filter(({call}) => call.startsWith('wait'));
    expect(waits[1]!.atMs - waits[0]!.atMs).toBeLessThan(PAUSE_MS);
    expect(confirmed.slice(1)).toEqual([3, 8]);
  });

  it('shortens the wait after a pause, so that outages are noticed in time', async () => {
    const {waits} = await runFollower([
      {waitMs: 5, changes: ['a']},
      {waitMs: WAIT_MS - PAUSE_MS, changes: []},
    ]);
    expect(waits).toEqual([WAIT_MS, WAIT_MS - PAUSE_MS, WAIT_MS]);
  });

  it('confirms an idle wait only until a second before its end, as changes may be delayed', async () => {
    const {confirmed} = await runFollower([{waitMs: WAIT_MS, changes: []}]);
    expect(confirmed[1]).toBe(WAIT_MS - 1_000);
  });

  it('confirms only the start of a wait that ended early', async () => {
    const {confirmed} = await runFollower([{waitMs: 100, changes: []}]);
    expect(confirmed[1]).toBe(0);
  });

  it.each([
    {fails: SourceErrorKind.HISTORY_LOST, afterOutage: false},
    {fails: SourceErrorKind.RESTORED, epoch: 2, afterOutage: true},
    {fails: SourceErrorKind.HISTORY_LOST, epoch: 2, afterOutage: true},
    {fails: SourceErrorKind.UNAVAILABLE, afterOutage: true},
    {fails: SourceErrorKind.MALFORMED, afterOutage: true},
  ])('lists again after $fails, epoch $epoch', async (row) => {
    const {fails, epoch, afterOutage} = row;
    const {calls, outages, restored} = await runFollower([{fails, epoch}]);
    const lists = calls.filter(({call}) => call === 'list');
    expect(lists).toHaveLength(2);
    expect(outages).toEqual([false, afterOutage]);
    expect(restored).toEqual([false, epoch !== undefined]);
  });
});
