import {describe, expect, it} from 'vitest';

import type {LogLine} from '../../../src/core/timeline/index.js';
import {
  parseLogLine,
  Relation,
  buildTimeline,
} from '../../../src/core/timeline/index.js';

function line(options: {
  atS: number;
  message: string;
  vm?: string;
  fields?: Record<string, unknown>;
}): LogLine {
  const {atS, message, vm = 'entry-1', fields = {}} = options;
  const timestamp = new Date(atS * 1_000).toISOString();
  return {timestamp, level: 'info', message, vm, fields};
}

const LINES = [
  line({atS: 20, message: 'refused', fields: {id: 'a', reason: 'x'}}),
  line({atS: 19, message: 'try failed', fields: {id: 'a', target: 'i-1'}}),
  line({atS: 18, message: 'target does not answer', fields: {target: 'i-1'}}),
  line({atS: 18, message: 'target does not answer', fields: {target: 'i-2'}}),
  line({atS: 18.5, message: 'store lost', fields: {what: 'targets'}}),
  line({atS: 18, message: 'store lost', vm: 'entry-2'}),
  line({atS: 5, message: 'started'}),
  line({atS: 19, message: 'refused', fields: {id: 'b'}}),
];

describe('buildTimeline', () => {
  it('returns lines of the request, its targets and its entry, in order', () => {
    const timeline = buildTimeline({lines: LINES, id: 'a'});
    expect(
      timeline.map(({relation, line: l}) => [relation, l.message]),
    ).toEqual([
      [Relation.TARGET, 'target does not answer'],
      [Relation.ENTRY_STATE, 'store lost'],
      [Relation.REQUEST, 'try failed'],
      [Relation.REQUEST, 'refused'],
    ]);
  });

  it('returns nothing for an unknown request', () => {
    expect(buildTimeline({lines: LINES, id: 'c'})).toEqual([]);
  });
});

describe('parseLogLine', () => {
  const json =
    '{"timestamp":"t","level":"info","message":"m","vm":"v","id":"a"}';

  it.each([
    {name: 'a line', text: json, id: 'a'},
    {name: 'a line after a prefix', text: `12.5 edge ${json}`, id: 'a'},
    {name: 'other text', text: 'Node.js v20', id: undefined},
    {name: 'malformed JSON', text: '{"timestamp":', id: undefined},
    {name: 'other JSON', text: '{"level":"info"}', id: undefined},
  ])('reads $name', ({text, id}) => {
    expect(parseLogLine(text)?.fields['id']).toBe(id);
  });
});
