/** Checks of the soak on starts, figures and ends of processes. */
import {describe, expect, it} from 'vitest';

import {
  entryComponent,
  findViolations,
  settingsComponent,
} from '../../../tools/soak/checks/index.js';
import {
  CROWD_AFTERMATH_MS,
  MEMORY_LIMIT_BYTES,
  SIGNALS_CPU_MS,
  START_TIMEOUT_MS,
} from '../../../tools/soak/consts.js';
import {STORE_COMPONENT} from '../../../tools/soak/history.js';
import type {ViolationCase} from '../../support/soak-history.js';
import {
  createCrowdPlay,
  createEnd,
  createFaultFreeHistory,
  createStart,
  ENTRY,
  LATER_MS,
} from '../../support/soak-history.js';

/** When a process that was started at `LATER_MS` must serve. */
const SERVING_DUE_MS = LATER_MS + START_TIMEOUT_MS;

/** When an entry must have responded after a crowd. */
const CROWD_DUE_MS = createCrowdPlay().toMs + CROWD_AFTERMATH_MS;

const CASES: readonly ViolationCase[] = [
  {
    name: 'a process that exits unexpectedly',
    guarantee: 'exits unexpectedly',
    add: ({entryEnds}) => entryEnds.push(createEnd({code: 1})),
  },
  {
    name: 'a process that exits with status 0 without a stop',
    guarantee: 'exits unexpectedly',
    add: ({entryEnds}) => entryEnds.push(createEnd()),
  },
  {
    name: 'a process that a signal ended while it worked',
    guarantee: 'exits unexpectedly',
    add: ({entryEnds}) => entryEnds.push(createEnd({code: null})),
  },
  {
    name: 'a stop that ends a starting process by its signal',
    guarantee: 'exits unexpectedly',
    add: ({entryEnds}) =>
      entryEnds.push(
        createEnd({code: null, stopMs: LATER_MS + 10, hasListened: false}),
      ),
  },
  {
    name: 'a stop that ends with another status than 0',
    guarantee: 'exits unexpectedly',
    add: ({entryEnds}) =>
      entryEnds.push(createEnd({code: 2, stopMs: LATER_MS + 10})),
  },
  {
    name: 'a stop that takes longer than the grace period',
    guarantee: 'within the grace period',
    add: ({entryEnds}) =>
      entryEnds.push(
        createEnd({code: null, stopMs: LATER_MS, hasOverrun: true}),
      ),
  },
  {
    name: 'a program that handles signals late',
    guarantee: 'from its first line on',
    add: ({entryStarts}) =>
      entryStarts.push(createStart({handledAfterCpuMs: SIGNALS_CPU_MS + 1})),
  },
  {
    name: 'an entry that serves late',
    guarantee: 'serves in time',
    add: ({entryStarts}) =>
      entryStarts.push(createStart({servedMs: SERVING_DUE_MS + 1})),
  },
  {
    name: 'an entry that runs and never serves',
    guarantee: 'serves in time',
    add: ({entryStarts}) =>
      entryStarts.push(createStart({servedMs: undefined})),
  },
  {
    name: 'an entry that serves late after its settings were incomplete',
    guarantee: 'serves in time',
    add: ({entryStarts, disturbances}) => {
      const servedMs = SERVING_DUE_MS + 1_001;
      entryStarts.push(createStart({servedMs}));
      disturbances.push({
        part: settingsComponent(ENTRY),
        kind: 'entry_settings_torn',
        fromMs: LATER_MS,
        toMs: LATER_MS + 1_000,
      });
    },
  },
  {
    name: 'a process over the memory limit',
    guarantee: 'memory limit',
    add: ({entryStarts}) =>
      entryStarts.push(createStart({peakMemoryBytes: MEMORY_LIMIT_BYTES + 1})),
  },
  {
    name: 'an entry that is silent after a crowd',
    guarantee: 'after a crowd',
    add: ({crowds}) => crowds.push(createCrowdPlay()),
  },
  {
    name: 'an entry that is silent after a crowd until it is stopped',
    guarantee: 'after a crowd',
    add: ({crowds, entryEnds}) => {
      crowds.push(createCrowdPlay());
      const stopMs = CROWD_DUE_MS + 1;
      entryEnds.push(createEnd({stopMs, endedMs: stopMs + 50}));
    },
  },
  {
    name: 'an entry that is silent after a crowd, another process stopped',
    guarantee: 'after a crowd',
    add: ({crowds, entryEnds}) => {
      crowds.push(createCrowdPlay({lifetime: 2}));
      entryEnds.push(createEnd({stopMs: LATER_MS}));
    },
  },
  {
    name: 'a process that exits by itself among a crowd',
    guarantee: 'exits unexpectedly',
    add: ({crowds, entryEnds}) => {
      crowds.push(createCrowdPlay({isAnswered: true}));
      entryEnds.push(createEnd({code: 134}));
    },
  },
  {
    name: 'a task that ended with an exception',
    guarantee: 'no task ends',
    add: ({taskFailures}) =>
      taskFailures.push({entry: ENTRY, detail: 'losses: Error: oops'}),
  },
];

describe('findViolations', () => {
  it.each(CASES)('finds $name', ({guarantee, add}) => {
    const history = createFaultFreeHistory();
    add(history);
    const found = findViolations(history);
    const guarantees = new Set(found.map((violation) => violation.promise));
    expect([...guarantees]).toEqual([expect.stringContaining(guarantee)]);
  });

  it('finds no violation in a process that serves until it is stopped', () => {
    const history = createFaultFreeHistory();
    history.entryStarts.push(createStart());
    history.entryEnds.push(createEnd({stopMs: LATER_MS + 2_000}));
    expect(findViolations(history)).toEqual([]);
  });

  it('ignores a stop that ends a process before it handles signals', () => {
    const stopMs = LATER_MS - 10;
    for (const handledMs of [undefined, LATER_MS]) {
      const history = createFaultFreeHistory();
      history.entryEnds.push(createEnd({code: null, stopMs, handledMs}));
      expect(findViolations(history)).toEqual([]);
    }
  });

  it('ignores a late start while the store was not available', () => {
    const history = createFaultFreeHistory();
    history.entryStarts.push(createStart({servedMs: SERVING_DUE_MS + 1_000}));
    history.disturbances.push({
      part: STORE_COMPONENT,
      kind: 'store_pause',
      fromMs: SERVING_DUE_MS - 1,
      toMs: SERVING_DUE_MS,
    });
    expect(findViolations(history)).toEqual([]);
  });

  it('ignores a late start for want of a processor', () => {
    const history = createFaultFreeHistory();
    const servedMs = SERVING_DUE_MS + 1_000;
    history.entryStarts.push(createStart({servedMs, processorWaitMs: 1_000}));
    expect(findViolations(history)).toEqual([]);
  });

  it('ignores an entry that was stopped before it had to serve', () => {
    const history = createFaultFreeHistory();
    const stopMs = SERVING_DUE_MS - 1;
    history.entryStarts.push(createStart({servedMs: undefined}));
    history.entryEnds.push(createEnd({stopMs}));
    expect(findViolations(history)).toEqual([]);
  });

  it.each<Pick<ViolationCase, 'name' | 'add'>>([
    {
      name: 'is stopped',
      add: ({entryEnds}) => {
        entryEnds.push(createEnd({stopMs: CROWD_DUE_MS - 1}));
      },
    },
    {
      name: 'is killed',
      add: ({entryEnds}) => {
        entryEnds.push(createEnd({code: null, wasKilled: true}));
      },
    },
    {
      name: 'is paused',
      add: ({disturbances}) => {
        const [fromMs, toMs] = [LATER_MS + 1_000, LATER_MS + 3_000];
        const part = entryComponent(ENTRY);
        disturbances.push({part, kind: 'entry_pause', fromMs, toMs});
      },
    },
  ])('ignores silence after a crowd of an entry that $name', ({add}) => {
    const history = createFaultFreeHistory();
    history.crowds.push(createCrowdPlay());
    add(history);
    expect(findViolations(history)).toEqual([]);
  });
});
