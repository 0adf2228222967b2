import {describe, expect, it} from 'vitest';

import {ExitStatus} from '../../src/cli/types.js';
import {CONFIG_OBJECT} from '../../src/core/config/index.js';
import {MemoryStore, WriteFault} from './lib/memory-store.js';
import {runTool, type ToolResult} from './lib/run-tool.js';

const FILES = 'examples/quickstart';
const PLATFORM = ['--platform', 'http://127.0.0.1:7000'];

const OTHER_OPERATOR_CONFIG = {
  nonce: 'theirs',
  operator: 'bartek',
  document: {base: {deployment: 'other'}, overlays: []},
};

function apply(store: MemoryStore, ...more: string[]): Promise<ToolResult> {
  return runTool(['apply', '-f', FILES, ...PLATFORM, ...more], store);
}

const FAULTS = [
  {
    name: 'its response is lost',
    faults: [WriteFault.RESPONSE_LOST],
    status: ExitStatus.OK,
    text: 'accepted at version 2',
    writes: 1,
  },
  {
    name: 'the request is lost',
    faults: [WriteFault.WRITE_LOST, WriteFault.WRITE_LOST],
    status: ExitStatus.OK,
    text: 'accepted at version 2',
    writes: 3,
  },
  {
    name: 'the store refuses it once',
    faults: [WriteFault.UNAVAILABLE],
    status: ExitStatus.OK,
    text: 'accepted at version 2',
    writes: 2,
  },
  {
    name: 'another operator writes first',
    faults: [WriteFault.PRECEDED_BY_OTHER],
    status: ExitStatus.CONFLICT,
    text: 'bartek holds version 2',
    writes: 1,
  },
  {
    name: 'the request is lost and another operator writes first',
    faults: [WriteFault.WRITE_LOST, WriteFault.PRECEDED_BY_OTHER],
    status: ExitStatus.CONFLICT,
    text: 'Yours may have been accepted first',
    writes: 2,
  },
  {
    name: 'its response is lost and another operator replaces it',
    faults: [WriteFault.REPLACED_BY_OTHER],
    status: ExitStatus.CONFLICT,
    text: 'Yours may have been accepted first',
    writes: 1,
  },
];

describe('apply', () => {
  it('creates the configuration, and then reports it as unchanged', async () => {
    const store = new MemoryStore();
    const first = await apply(store);
    expect(first).toMatchObject({status: ExitStatus.OK, err: ''});
    expect(first.out).toContain('accepted at version 1\n');
    const again = await apply(store);
    const out = 'already accepted at version 1\n';
    expect(again).toEqual({status: ExitStatus.OK, out, err: ''});
    expect(store.writes).toBe(1);
  });

  it.each(FAULTS)(
    'resolves the outcome of a write when $name',
    async (testCase) => {
      const store = new MemoryStore();
      store.put(CONFIG_OBJECT, OTHER_OPERATOR_CONFIG);
      store.otherOperatorValue = OTHER_OPERATOR_CONFIG;
      store.faults.push(...testCase.faults);
      const {status, out, err} = await apply(store);
      expect(status).toBe(testCase.status);
      expect(out + err).toContain(testCase.text);
      expect(store.writes).toBe(testCase.writes);
    },
  );

  it('reports the other operator and the differences', async () => {
    const store = new MemoryStore();
    store.put(CONFIG_OBJECT, OTHER_OPERATOR_CONFIG);
    const {status, err} = await apply(store, '--expect-version', '7');
    expect(status).toBe(ExitStatus.CONFLICT);
    expect(err).toContain('bartek holds version 1');
    expect(err).toContain('base deployment: "other" -> "quickstart"');
    expect(store.writes).toBe(0);
  });

  it('overwrites a malformed object at the expected version only', async () => {
    const store = new MemoryStore();
    store.put(CONFIG_OBJECT, 'unknown');
    expect((await apply(store)).status).toBe(ExitStatus.CONFLICT);
    const forced = await apply(store, '--expect-version', '1');
    expect(forced.status).toBe(ExitStatus.OK);
  });

  it('writes nothing when the store cannot be read', async () => {
    const store = new MemoryStore();
    store.isReadable = false;
    const {status, err} = await apply(store);
    expect(status).toBe(ExitStatus.FAILED);
    expect(err).toContain('nothing was written');
    expect(store.writes).toBe(0);
  });
});

describe('diff', () => {
  const diff = (store: MemoryStore): Promise<ToolResult> =>
    runTool(['diff', '-f', FILES, ...PLATFORM, '--json'], store);

  it('lists the differences by scope and path', async () => {
    const store = new MemoryStore();
    store.put(CONFIG_OBJECT, OTHER_OPERATOR_CONFIG);
    const {status, out} = await diff(store);
    const report = JSON.parse(out) as {changes: unknown[]};
    expect(status).toBe(ExitStatus.OK);
    expect(report).toMatchObject({version: 1, operator: 'bartek'});
    expect(report.changes).toContainEqual({
      scope: 'base',
      path: 'deployment',
      before: 'other',
      after: 'quickstart',
    });
    expect(report.changes).toContainEqual({
      scope: 'site waw',
      path: '',
      after: {},
    });
  });

  it('lists nothing for the accepted configuration', async () => {
    const store = new MemoryStore();
    await apply(store);
    const report = JSON.parse((await diff(store)).out) as {changes: unknown[]};
    expect(report.changes).toEqual([]);
  });
});
