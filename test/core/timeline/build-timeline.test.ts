import {describe, expect, it} from 'vitest';

import type {LogLine} from '../../../src/core/timeline/index.js';
import {
  parseLogLine,
  Relation,
  buildTimeline,
} from '../../../src/core/timeline/index.js';

function createLine(options: {
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
  createLine({
    atS: 20,
    message: 'request refused at admission',
    fields: {id: 'a', reason: 'x'},
  }),
  createLine({
    atS: 19,
    message: 'call attempt failed',
    fields: {id: 'a', target: 'i-1'},
  }),
  createLine({
    atS: 18,
    message: 'target does not respond to probe',
    fields: {target: 'i-1'},
  }),
  createLine({
    atS: 18,
    message: 'target does not respond to probe',
    fields: {target: 'i-2'},
  }),
  createLine({
    atS: 18.5,
    message: 'store reads fail',
    fields: {what: 'targets'},
  }),
  createLine({atS: 18, message: 'store reads fail', vm: 'entry-2'}),
  createLine({atS: 5, message: 'started'}),
  createLine({
    atS: 19,
    message: 'request refused at admission',
    fields: {id: 'b'},
  }),
];

describe('buildTimeline', () => {
  it('returns lines of the request, its targets and its entry, in order', () => {
    const timeline = buildTimeline({lines: LINES, id: 'a'});
    expect(
      timeline.map(({relation, line}) => [relation, line.message]),
    ).toEqual([
      [Relation.TARGET, 'target does not respond to probe'],
      [Relation.ENTRY_STATE, 'store reads fail'],
      [Relation.REQUEST, 'call attempt failed'],
      [Relation.REQUEST, 'request refused at admission'],
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
    {name: 'a log line', text: json, id: 'a'},
    {name: 'a log line after a prefix', text: `12.5 edge ${json}`, id: 'a'},
    {name: 'other text', text: 'Node.js v20', id: undefined},
    {name: 'malformed JSON', text: '{"timestamp":', id: undefined},
    {name: 'other JSON', text: '{"level":"info"}', id: undefined},
  ])('parses $name', ({text, id}) => {
    expect(parseLogLine(text)?.fields['id']).toBe(id);
  });
});
