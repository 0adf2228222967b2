/** Each check of the soak detects violations of its own guarantee only. */
import {describe, expect, it} from 'vitest';

import {
  entryComponent,
  findViolations,
} from '../../../tools/soak/checks/index.js';
import {
  CONFIG_APPLY_MS,
  CALL_DEADLINE_MS,
  CANCEL_TIMEOUT_MS,
  FAULT_AFTERMATH_MS,
  DEADLINE_TOLERANCE_MS,
  DRAIN_NOTICE_MS,
  MAX_OVERLAP_MS,
  RETRY_SLACK,
  KEY_REVOCATION_MS,
} from '../../../tools/soak/consts.js';
import {RequestKind} from '../../../tools/soak/history.js';

import type {ViolationCase} from '../../support/soak-history.js';
import {
  createArrival,
  createAttempt,
  createConfigChange,
  createEnd,
  createEventText,
  createFaultFreeHistory,
  createStreamText,
  ENTRY,
  LATER_MS,
  START_MS,
} from '../../support/soak-history.js';

const createStreamCase = (
  name: string,
  text: string,
  isWhole = true,
): ViolationCase => ({
  name,
  guarantee: 'no event of a stream',
  add: ({attempts}) =>
    attempts.push(createAttempt({kind: RequestKind.STREAM, text, isWhole})),
});

const CASES: readonly ViolationCase[] = [
  {
    name: 'the response to another request',
    guarantee: 'own complete response',
    add: ({attempts}) => attempts.push(createAttempt({text: 'answer to r2'})),
  },
  {
    name: 'a part of a response that passes as complete',
    guarantee: 'own complete response',
    add: ({attempts}) => attempts.push(createAttempt({text: 'answ'})),
  },
  {
    name: 'a response with status 000',
    guarantee: 'final status of HTTP',
    add: ({attempts}) => attempts.push(createAttempt({status: 0})),
  },
  {
    name: 'a response with a status over 599',
    guarantee: 'final status of HTTP',
    add: ({attempts}) => attempts.push(createAttempt({status: 600})),
  },
  {
    name: 'a response without proof',
    guarantee: 'own complete response',
    add: ({attempts}) => attempts.push(createAttempt({isProven: false})),
  },
  createStreamCase(
    'a missing event',
    createEventText('r1', 1) + createEventText('r1', 3),
    false,
  ),
  createStreamCase(
    'a duplicated event',
    createEventText('r1', 1) + createEventText('r1', 1),
    false,
  ),
  createStreamCase(
    'an event of another request',
    createEventText('r2', 1),
    false,
  ),
  createStreamCase(
    'an early end that looks complete',
    createStreamText('r1', 3),
  ),
  {
    name: 'a second run of a booking',
    guarantee: 'at most once',
    add: ({attempts, arrivals}) => {
      attempts.push(createAttempt({kind: RequestKind.UNSAFE}));
      arrivals.push(createArrival(), createArrival({target: 'i-2'}));
    },
  },
  {
    name: 'a refusal of a request that ran',
    guarantee: 'has not run',
    add: ({attempts, arrivals}) => {
      attempts.push(createAttempt({kind: RequestKind.UNSAFE, status: 503}));
      arrivals.push(createArrival());
    },
  },
  {
    name: 'a late response',
    guarantee: 'by its deadline',
    add: ({attempts}) => {
      const endMs = LATER_MS + CALL_DEADLINE_MS + DEADLINE_TOLERANCE_MS + 1;
      attempts.push(createAttempt({endMs}));
    },
  },
  {
    name: 'a connection that ends without a response',
    guarantee: 'responds to each request',
    add: ({attempts}) =>
      attempts.push(createAttempt({status: undefined, isWhole: false})),
  },
  {
    name: 'a response interrupted by a graceful shutdown',
    guarantee: 'interrupts no request',
    add: ({attempts, entryEnds}) => {
      attempts.push(createAttempt({isWhole: false}));
      entryEnds.push(createEnd({stopMs: LATER_MS + 10}));
    },
  },
  {
    name: 'failures after the faults',
    guarantee: 'recovers after the faults',
    add: ({attempts, calmFromMs}) => {
      for (let i = 0; i < 5; i++) {
        const sentMs = calmFromMs + 1 + i;
        attempts.push(
          createAttempt({id: `f${i}`, sentMs, status: 503, text: ''}),
        );
      }
    },
  },
  {
    name: 'a run with a revoked key',
    guarantee: 'refused in time',
    add: ({configs, attempts, arrivals}) => {
      configs.push(
        createConfigChange(2, START_MS),
        createConfigChange(3, START_MS),
      );
      const sentMs = START_MS + KEY_REVOCATION_MS + 1;
      attempts.push(createAttempt({sentMs, keyVersion: 1, status: 500}));
      arrivals.push(createArrival({atMs: sentMs + 1, keyVersion: 1}));
    },
  },
  {
    name: 'a refusal of a valid key',
    guarantee: 'applied within seconds',
    add: ({attempts}) => {
      const sentMs = START_MS + CONFIG_APPLY_MS + 1;
      attempts.push(createAttempt({sentMs, keyVersion: 1, status: 401}));
    },
  },
  {
    name: 'a refusal of the permanent key',
    guarantee: 'applied within seconds',
    add: ({attempts}) => attempts.push(createAttempt({status: 401})),
  },
  {
    name: 'a process that rejects the key of a version it has used',
    guarantee: 'never reverts',
    add: ({configs, attempts, arrivals}) => {
      configs.push(createConfigChange(2, LATER_MS));
      const sentMs = LATER_MS + 1_000;
      attempts.push(
        createAttempt({keyVersion: 2}),
        createAttempt({id: 'r2', sentMs, keyVersion: 2, status: 401}),
      );
      arrivals.push(createArrival({keyVersion: 2}));
    },
  },
  {
    name: 'a process that accepts a key after applying its revocation',
    guarantee: 'never reverts',
    add: ({configs, attempts, arrivals}) => {
      configs.push(
        createConfigChange(2, LATER_MS),
        createConfigChange(3, LATER_MS),
      );
      const sentMs = LATER_MS + 1_000;
      attempts.push(
        createAttempt({keyVersion: 3}),
        createAttempt({id: 'r2', sentMs, keyVersion: 1}),
      );
      arrivals.push(
        createArrival({keyVersion: 3}),
        createArrival({attemptId: 'r2', atMs: sentMs + 1, keyVersion: 1}),
      );
    },
  },
  {
    name: 'a moved route at its old service',
    guarantee: 'by its new service',
    add: ({configs, attempts, arrivals}) => {
      configs.push(createConfigChange(2, LATER_MS - CONFIG_APPLY_MS - 100));
      attempts.push(createAttempt({kind: RequestKind.MOVING}));
      arrivals.push(createArrival());
    },
  },
  {
    name: 'new work for a draining target',
    guarantee: 'draining target',
    add: ({attempts, arrivals, leavings}) => {
      attempts.push(createAttempt());
      leavings.push({target: 'i-1', ackMs: LATER_MS - DRAIN_NOTICE_MS});
      arrivals.push(createArrival());
    },
  },
  {
    name: 'runs that continue after their callers disconnected',
    guarantee: 'ends when its caller disconnects',
    add: ({attempts, arrivals}) => {
      for (const id of ['a', 'b', 'c', 'd']) {
        const hungUpMs = LATER_MS + 500;
        attempts.push(
          createAttempt({
            id,
            kind: RequestKind.STREAM,
            hungUpMs,
            isWhole: false,
          }),
        );
        const endedMs = hungUpMs + CANCEL_TIMEOUT_MS + 1;
        arrivals.push(
          createArrival({attemptId: id, service: 'writers', endedMs}),
        );
      }
    },
  },
  {
    name: 'two concurrent runs of a stream',
    guarantee: 'do not overlap',
    add: ({attempts, arrivals}) => {
      attempts.push(createAttempt({kind: RequestKind.STREAM}));
      const nextMs = LATER_MS + 100;
      const endedMs = nextMs + MAX_OVERLAP_MS + 1;
      const run = {endedMs, service: 'writers'};
      arrivals.push(
        createArrival(run),
        createArrival({...run, target: 'i-2', atMs: nextMs}),
      );
    },
  },
  {
    name: 'more retries than the budget allows',
    guarantee: 'within their budget',
    add: ({attempts, arrivals}) => {
      attempts.push(createAttempt());
      for (let i = 0; i < RETRY_SLACK + 5; i++) arrivals.push(createArrival());
    },
  },
  {
    name: 'a log line that is not JSON',
    guarantee: 'JSON lines only',
    add: ({strayLines}) => strayLines.push('Error: oops'),
  },
];

describe('findViolations', () => {
  it('finds no violation in a run without faults', () => {
    expect(findViolations(createFaultFreeHistory())).toEqual([]);
  });

  it.each(CASES)('finds $name', ({guarantee, add}) => {
    const history = createFaultFreeHistory();
    add(history);
    const found = findViolations(history);
    const guarantees = new Set(found.map((violation) => violation.promise));
    expect([...guarantees]).toEqual([expect.stringContaining(guarantee)]);
  });

  it('ignores a late response of an entry shortly after a fault', () => {
    const history = createFaultFreeHistory();
    const endMs = LATER_MS + CALL_DEADLINE_MS + DEADLINE_TOLERANCE_MS + 1;
    history.attempts.push(createAttempt({endMs}));
    history.disturbances.push({
      part: entryComponent(ENTRY),
      kind: 'entry_pause',
      fromMs: LATER_MS - FAULT_AFTERMATH_MS - 100,
      toMs: LATER_MS - FAULT_AFTERMATH_MS + 100,
    });
    expect(findViolations(history)).toEqual([]);
  });

  it('ignores an overlapping run that ended immediately', () => {
    const history = createFaultFreeHistory();
    history.attempts.push(createAttempt({kind: RequestKind.STREAM}));
    const nextMs = LATER_MS + 100;
    const endedMs = nextMs + MAX_OVERLAP_MS + 1;
    history.arrivals.push(
      createArrival({endedMs, service: 'writers'}),
      createArrival({
        target: 'i-2',
        service: 'writers',
        atMs: nextMs,
        endedMs: nextMs + 2,
      }),
    );
    expect(findViolations(history)).toEqual([]);
  });

  it('finds a second run of a booking even during a fault', () => {
    const history = createFaultFreeHistory();
    history.attempts.push(createAttempt({kind: RequestKind.UNSAFE}));
    history.arrivals.push(createArrival(), createArrival({target: 'i-2'}));
    const fault = {kind: 'entry_pause', fromMs: 0, toMs: Infinity};
    history.disturbances.push({part: entryComponent(ENTRY), ...fault});
    expect(findViolations(history)).toHaveLength(1);
  });
});
