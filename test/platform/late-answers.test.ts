/** Second answers that arrive where those to other calls are due. */
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {TargetClient} from '../../platform/target-client.js';
import type {SeenCall} from '../support/fake-target.js';
import {FakeTarget, REPORT} from '../support/fake-target.js';
import {silentSupervisor} from '../support/supervisor.js';

const TIMEOUT_MS = 1_000;

/** Time from a late second answer until that to the present call. */
const TRUE_ANSWER_MS = 20;

const encode = (status: string, body: unknown) => {
  const text = JSON.stringify(body);
  return `HTTP/1.1 ${status}\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
};

const bodyOf = (text: string): unknown =>
  JSON.parse(text.slice(text.indexOf('\r\n\r\n')));

const REFUSAL = encode('503 Busy', {});

/** A target that repeats its answer to a call at the next one. */
class RepeatingTarget extends FakeTarget {
  /** Whether the copy of the first attempt is refused. */
  refusesFirstCopy = false;
  /** Path of the calls that are refused; none by default. */
  refusedPath?: string;
  private readonly firstAnswers = new Map<number, string>();

  override behaviour = (call: SeenCall) => {
    const answer = this.answerTo(call);
    const late = this.firstAnswers.get(call.connection);
    if (late === undefined) {
      this.firstAnswers.set(call.connection, answer);
      call.socket.write(answer);
      return;
    }
    if (call.nth === 2) call.socket.write(late);
    setTimeout(() => call.socket.write(answer), TRUE_ANSWER_MS);
  };

  private answerTo({line, text}: SeenCall): string {
    if (this.refusedPath !== undefined && line.includes(this.refusedPath))
      return REFUSAL;
    if (line.includes('/-/report')) return encode('200 OK', REPORT);
    if (line.includes('/-/hold-take')) {
      const {token_count: tokens} = bodyOf(text) as {token_count: number};
      return encode('200 OK', {retention: `room-of-${tokens}`});
    }
    if (!line.includes('/-/kv-move')) return encode('200 OK', {});
    const attempt = /try-\d/.exec(text)?.[0];
    return this.refusesFirstCopy && attempt === 'try-1'
      ? REFUSAL
      : encode('200 OK', {handle: `copy-of-${attempt}`});
  }
}

describe('a late second answer', () => {
  let fake: RepeatingTarget;
  let client: TargetClient;

  beforeEach(async () => {
    fake = new RepeatingTarget();
    await fake.listen();
    client = new TargetClient({supervisor: silentSupervisor()});
  });

  afterEach(() => fake.close());

  const copy = (attemptId: string) =>
    client.copyKvCache({
      source: fake.record,
      attemptId,
      destination: '10.0.0.2:80',
    });

  const report = () => client.queryLoad(fake.record, TIMEOUT_MS);

  const reserve = (tokens = 100) =>
    client.reserve({
      target: fake.record,
      tokens,
      lifetimeMs: 500,
      timeoutMs: TIMEOUT_MS,
    });

  const freeCopy = () => client.freeKvCopy({source: fake.record, id: 'c-0'});

  const releaseRoom = () =>
    client.releaseReservation({
      target: fake.record,
      id: 'r-0',
      timeoutMs: TIMEOUT_MS,
    });

  // Guards against a generation that goes on from the memory of another (MIXED).
  it.each([
    {name: 'a copy', before: () => copy('try-0')},
    {
      name: 'a copy, with the next refused',
      before: () => copy('try-0'),
      refusesFirst: true,
    },
    {name: 'a report', before: report},
    {name: 'a reservation', before: () => reserve()},
    {name: 'the release of a copy', before: freeCopy},
    {name: 'the release of room', before: releaseRoom},
  ])(
    'to $name gives no copy to another attempt',
    async ({before, refusesFirst}) => {
      fake.refusesFirstCopy = refusesFirst === true;
      await before();
      const made: Array<string | undefined> = [];
      for (const attempt of ['try-1', 'try-2', 'try-3'])
        made.push((await copy(attempt)).unwrapOr(undefined as never));
      const first = refusesFirst === true ? undefined : 'copy-of-try-1';
      expect(made).toEqual([first, 'copy-of-try-2', 'copy-of-try-3']);
    },
  );

  // Guards against a generation in room that was granted to another one.
  it.each([
    {name: 'a reservation', before: () => reserve()},
    {
      name: 'a refused reservation',
      before: () => reserve(),
      path: '/-/hold-take',
    },
    {name: 'a report', before: report},
    {name: 'a refused report', before: report, path: '/-/report'},
    {name: 'the release of a copy', before: freeCopy},
    {name: 'a refused release', before: releaseRoom, path: '/-/hold-drop'},
  ])('to $name grants no room twice', async ({before, path}) => {
    fake.refusedPath = path;
    await before();
    fake.refusedPath = undefined;
    const wrong: string[] = [];
    let granted = 0;
    for (const tokens of [1, 2, 3, 4, 5]) {
      const room = (await reserve(tokens)).unwrapOr(undefined as never);
      if (room === `room-of-${tokens}`) granted++;
      else if (room !== undefined) wrong.push(`${room} for ${tokens}`);
    }
    expect(wrong).toEqual([]);
    expect(granted).toBeGreaterThan(1);
  });

  it('finds the connection of a copy closed', async () => {
    await copy('try-1');
    await sleep(TRUE_ANSWER_MS);
    expect(fake.openCount).toBe(0);
    await report();
    expect(fake.calls.map(({connection}) => connection)).toEqual([1, 2]);
  });
});
