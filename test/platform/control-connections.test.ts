/** Connections that load reports, reservations and requests share. */
import {setTimeout as sleep} from 'node:timers/promises';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {TargetClient} from '../../platform/target-client.js';
import {
  ExchangeFailure,
  ReserveFailure,
} from '../../src/core/edges/direct-target.js';
import type {Behaviour, SeenCall} from '../support/fake-target.js';
import {
  ATTEMPT_ID,
  FakeTarget,
  REPORT,
  respond,
  write,
} from '../support/fake-target.js';
import {silentSupervisor} from '../support/supervisor.js';

const TIMEOUT_MS = 1_000;

/** Time for bytes and the end of a connection to arrive on loopback. */
const ARRIVAL_MS = 60;

/** Time by which an answer exceeds its timeout. */
const LATE_MS = 300;

/** Applies a behaviour to the calls that follow another on a connection. */
function onKept(behaviour: Behaviour): Behaviour {
  return (call) => (call.nth > 1 ? behaviour : respond)(call);
}

describe('a kept connection to a target', () => {
  let fake: FakeTarget;
  let client: TargetClient;

  beforeEach(async () => {
    fake = new FakeTarget();
    await fake.listen();
    client = new TargetClient({supervisor: silentSupervisor()});
  });

  afterEach(() => fake.close());

  const queryLoad = (target = fake.record, timeoutMs = TIMEOUT_MS) =>
    client.queryLoad(target, timeoutMs);

  const reserve = () =>
    client.reserve({
      target: fake.record,
      tokens: 100,
      lifetimeMs: 500,
      timeoutMs: TIMEOUT_MS,
    });

  const release = () => {
    const times = {timeoutMs: TIMEOUT_MS};
    return client.releaseReservation({
      target: fake.record,
      id: 'r-1',
      ...times,
    });
  };

  const freeCopy = () => client.freeKvCopy({source: fake.record, id: 'c-1'});

  const copy = () =>
    client.copyKvCache({
      source: fake.record,
      attemptId: ATTEMPT_ID,
      destination: '10.0.0.2:80',
    });

  /** Sends a request; returns how it ended. */
  const send = (): Promise<ExchangeFailure | 'complete'> =>
    new Promise((resolve) => {
      client.send({
        target: fake.record,
        maxConnections: 1,
        req: {
          attemptId: ATTEMPT_ID,
          method: 'POST',
          path: '/',
          headers: [],
          body: new Uint8Array(),
          leftMs: TIMEOUT_MS,
        },
        listener: {
          onNotice: () => undefined,
          onHead: () => undefined,
          onData: () => undefined,
          onComplete: () => resolve('complete'),
          onFailure: (failure) => resolve(failure),
        },
      });
    });

  it.each([
    {name: 'two reports', calls: [queryLoad, queryLoad]},
    {name: 'a report and a reservation', calls: [queryLoad, reserve]},
    {name: 'a reservation and its request', calls: [reserve, send]},
    {name: 'a request and a report', calls: [send, queryLoad]},
    {name: 'a reservation and its release', calls: [reserve, release]},
    {name: 'a report and the release of a copy', calls: [queryLoad, freeCopy]},
  ])('carries $name', async ({calls}) => {
    for (const call of calls) await call();
    expect(fake.calls.map(({connection}) => connection)).toEqual([1, 1]);
  });

  it.each([
    {
      name: 'closed by its target',
      behaviour: onKept(({socket}) => socket.end()),
    },
    {
      name: 'reset by its target',
      behaviour: onKept(({socket}) => socket.resetAndDestroy()),
    },
    {name: 'silent for good', behaviour: onKept(() => undefined)},
    {
      name: 'used for a response to another request',
      behaviour: onKept(({socket}) =>
        write(socket, REPORT, 'attempt-id: try-0\r\n'),
      ),
    },
  ])(
    'that is $name leaves a report to a new one',
    async ({behaviour}) => {
      fake.behaviour = behaviour;
      await queryLoad();
      expect((await queryLoad()).isOk()).toBe(true);
      expect(fake.sockets).toHaveLength(2);
    },
    4 * TIMEOUT_MS,
  );

  it.each([
    {
      name: 'closed by its target',
      behaviour: onKept(({socket}) => socket.end()),
    },
    {name: 'silent for good', behaviour: onKept(() => undefined)},
  ])(
    'that is $name makes no second reservation',
    async ({behaviour}) => {
      fake.behaviour = behaviour;
      await queryLoad();
      const reserved = await reserve();
      expect(reserved._unsafeUnwrapErr()).toBe(ReserveFailure.CONNECTION_LOST);
      const reservations = fake.calls.filter(({line}) =>
        line.includes('/-/hold-take'),
      );
      expect(reservations).toHaveLength(1);
    },
    4 * TIMEOUT_MS,
  );

  /** Grants a number that counts the answers. */
  const grant = ({socket}: SeenCall, id = fake.calls.length) =>
    write(socket, {retention: `r-${id}`});

  /** Writes the answer in two parts, the second one after the timeout. */
  const grantLate = (call: SeenCall, firstBytes: number) => {
    const text = JSON.stringify({retention: 'r-late'});
    const head = `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n`;
    call.socket.write((head + text).slice(0, firstBytes));
    const rest = (head + text).slice(firstBytes);
    setTimeout(() => call.socket.write(rest), TIMEOUT_MS + LATE_MS);
  };

  it.each<{name: string; behaviour: Behaviour}>([
    {name: 'comes late', behaviour: (call) => grantLate(call, 0)},
    {name: 'ends late', behaviour: (call) => grantLate(call, 50)},
    {
      name: 'has no valid status, before the true one',
      behaviour: (call) => {
        call.socket.write('HTTP/1.1 999 Odd\r\ncontent-length: 0\r\n\r\n');
        grant(call);
      },
    },
    {
      name: 'is of a request, before the true one',
      behaviour: (call) => {
        write(call.socket, {}, 'attempt-id: try-0\r\n');
        grant(call);
      },
    },
    {
      name: 'is of a report, before the true one',
      behaviour: (call) => {
        write(call.socket, REPORT);
        grant(call);
      },
    },
    {
      name: 'is that of the last reservation, before the true one',
      behaviour: (call) => {
        grant(call, 1);
        grant(call);
      },
    },
  ])(
    'is not used again once the answer to a reservation $name',
    async ({behaviour}) => {
      fake.behaviour = grant;
      expect((await reserve())._unsafeUnwrap()).toBe('r-1');
      fake.behaviour = (call) =>
        (call.connection === 1 ? behaviour : grant)(call);
      const [failed, next] = [await reserve(), reserve()];
      expect(failed._unsafeUnwrapErr()).toBe(ReserveFailure.CONNECTION_LOST);
      expect((await next)._unsafeUnwrap()).toBe('r-3');
      await sleep(LATE_MS + ARRIVAL_MS);
      expect((await reserve())._unsafeUnwrap()).toBe('r-4');
      expect(fake.calls.map(({connection}) => connection)).toEqual([
        1, 1, 2, 2,
      ]);
    },
    4 * TIMEOUT_MS,
  );

  it('is not used once another one was silent that was idle as long', async () => {
    await Promise.all([queryLoad(), queryLoad()]);
    await sleep(ARRIVAL_MS);
    const kept = fake.sockets.length;
    fake.behaviour = (call) => {
      if (call.connection > kept) respond(call);
    };
    const queryQuickly = () => queryLoad(fake.record, TIMEOUT_MS / 4);
    expect((await queryQuickly()).isOk()).toBe(true);
    const before = fake.calls.length;
    const both = await Promise.all([queryQuickly(), queryQuickly()]);
    expect(both.every((load) => load.isOk())).toBe(true);
    const used = fake.calls.slice(before).map(({connection}) => connection);
    expect(used).toEqual([kept + 1, kept + 2]);
  });

  it('is not used again after an answer that is no report', async () => {
    fake.behaviour = grant;
    await reserve();
    // The second answer to the reservation, in place of the report.
    fake.behaviour = (call) => grant(call, 1);
    expect((await queryLoad()).isErr()).toBe(true);
    await reserve();
    expect(fake.calls.map(({connection}) => connection)).toEqual([1, 1, 2]);
  });

  it('fails a report only once a new one fails too', async () => {
    await queryLoad();
    fake.behaviour = () => undefined;
    expect((await queryLoad()).isErr()).toBe(true);
    expect(fake.sockets).toHaveLength(2);
  });

  it('ends with its target', async () => {
    await queryLoad();
    client.releaseConnections(fake.record);
    await sleep(ARRIVAL_MS);
    expect(fake.openCount).toBe(0);
  });

  it('is not used for another incarnation at its address', async () => {
    await queryLoad();
    await queryLoad({...fake.record, startedAtMs: 2});
    expect(fake.sockets).toHaveLength(2);
  });

  it('is closed where its target asks for it', async () => {
    fake.behaviour = ({socket}) =>
      write(socket, REPORT, 'connection: close\r\n');
    await queryLoad();
    await queryLoad();
    expect(fake.sockets).toHaveLength(2);
  });

  it('hands late bytes to no other call', async () => {
    fake.behaviour = (call) => {
      respond(call);
      if (call.connection > 1) return;
      const late = {...REPORT, active: 7};
      setTimeout(() => write(call.socket, late), ARRIVAL_MS / 2);
    };
    await queryLoad();
    await sleep(ARRIVAL_MS);
    const load = await queryLoad();
    expect(load._unsafeUnwrap().running).toBe(REPORT.active);
    expect(fake.calls.map(({connection}) => connection)).toEqual([1, 2]);
  });

  it('gives a response of a control call to no request', async () => {
    fake.behaviour = ({socket}) => write(socket, {retention: 'r-1'});
    await reserve();
    expect(await send()).toBe(ExchangeFailure.MISMATCHED_RESPONSE);
  });

  // Guards against a refusal that belongs to another call (TWICE, REFUSED).
  it('takes a refusal without an id for no answer to a request', async () => {
    fake.behaviour = onKept(({socket}) =>
      socket.write(
        'HTTP/1.1 503 Busy\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n',
      ),
    );
    await reserve();
    expect(await send()).toBe(ExchangeFailure.MISMATCHED_RESPONSE);
  });

  it('does not let control calls raise the number of requests', async () => {
    const ended: string[] = [];
    fake.behaviour = (call) => {
      if (call.line.includes('/-/')) respond(call);
    };
    for (let i = 0; i < 4; i++) {
      await queryLoad();
      void send().then((how) => ended.push(how));
    }
    await sleep(ARRIVAL_MS);
    expect(ended).toEqual(Array(3).fill(ExchangeFailure.HELD_BACK));
  });

  it('is one of few after many calls at once', async () => {
    await Promise.all(Array.from({length: 6}, () => queryLoad()));
    await sleep(ARRIVAL_MS);
    expect(fake.openCount).toBeLessThanOrEqual(2);
  });

  it('takes no connection from requests during a control call', async () => {
    let finish = () => undefined as void;
    fake.behaviour = (call) => {
      if (call.line.includes('/-/kv-move')) finish = () => respond(call);
      else respond(call);
    };
    const copied = copy();
    expect(await send()).toBe('complete');
    finish();
    expect((await copied).isOk()).toBe(true);
  });
});
