/** Which lines of a response count as kept by its parser. */
import {describe, expect, it} from 'vitest';

import {KeptLines, MAX_KEPT_LINES} from '../../src/adapters/kept-lines.js';

/** What a parser finds at the end of a part of a slice. */
enum Found {
  NOTHING = 'nothing',
  INFORMATIONAL = 'informational head',
  HEAD = 'head',
  BODY = 'piece of a body',
}

interface Part {
  readonly text: string;
  readonly found: Found;
  /** Fields of a head. */
  readonly fields?: number;
}

type Slice = readonly Part[];

const MANY = MAX_KEPT_LINES + 100;

const FIELD = 'A: b\r\n';

const DIGITS = /^\d+$/;

const END = '\r\n';

const text = (content: string): Part => ({
  text: content,
  found: Found.NOTHING,
});

const body = (content: string): Part => ({text: content, found: Found.BODY});

const head = (fields: number): Part => ({
  text: `HTTP/1.1 200 OK\r\n${FIELD.repeat(fields)}${END}`,
  found: Found.HEAD,
  fields,
});

const informational = (fields: number): Part => ({
  text: `HTTP/1.1 102 Processing\r\n${FIELD.repeat(fields)}${END}`,
  found: Found.INFORMATIONAL,
  fields,
});

const CHUNK: Slice = [text('\r\n4\r\n'), body('a\nb\n')];

const TRAILERS = text(`\r\n0\r\n${FIELD.repeat(MANY)}`);

const CASES: ReadonlyArray<{
  what: string;
  slices: readonly Slice[];
  areTooMany: boolean;
}> = [
  {
    what: 'a head and a body of many lines in one slice',
    slices: [[head(9), body('x\n'.repeat(MANY))]],
    areTooMany: false,
  },
  {
    what: 'a body of many lines after its head',
    slices: [[head(9)], [body('x\n'.repeat(MANY))]],
    areTooMany: false,
  },
  {
    what: 'a chunk in each of many slices',
    slices: [[head(9)], ...Array<Slice>(MANY).fill(CHUNK)],
    areTooMany: false,
  },
  {
    what: 'many chunks in one slice, each cut off after its size',
    slices: [
      [head(9), text('4\r\n')],
      ...Array<Slice>(MANY).fill([body('a\nb\n'), text('\r\n4\r\n')]),
    ],
    areTooMany: false,
  },
  {
    what: 'many informational heads and a final one in one slice',
    slices: [[...Array<Part>(MANY).fill(informational(3)), head(9)]],
    areTooMany: false,
  },
  {
    what: 'informational heads over many slices',
    slices: Array<Slice>(MANY).fill([informational(3)]),
    areTooMany: false,
  },
  {
    what: 'a head without an end',
    slices: [[text(`HTTP/1.1 200 OK\r\n${FIELD.repeat(MANY)}`)]],
    areTooMany: true,
  },
  {
    what: 'a head over many slices',
    slices: [
      [text('HTTP/1.1 200 OK\r\n')],
      ...Array<Slice>(MANY).fill([text(FIELD)]),
    ],
    areTooMany: true,
  },
  {
    what: 'a head of few fields with many folded lines',
    slices: [
      [
        {
          text: `HTTP/1.1 200 OK\r\nA: b\r\n${' c\r\n'.repeat(MANY)}\r\n`,
          found: Found.HEAD,
          fields: 1,
        },
      ],
    ],
    areTooMany: true,
  },
  {
    what: 'a head without an end after informational heads',
    slices: [[informational(3), text(FIELD.repeat(MANY))]],
    areTooMany: true,
  },
  {
    what: 'trailers in the slice of the body',
    slices: [[head(9), body('a\n'), TRAILERS]],
    areTooMany: true,
  },
  {
    what: 'trailers after many chunks',
    slices: [[head(9)], ...Array<Slice>(MANY).fill(CHUNK), [TRAILERS]],
    areTooMany: true,
  },
  {
    what: 'trailers without a body in the slice of the head',
    slices: [[head(9), text(`0\r\n${FIELD.repeat(MANY)}`)]],
    areTooMany: true,
  },
];

describe('kept lines', () => {
  it.each(CASES)('of $what: $areTooMany', ({slices, areTooMany}) => {
    const lines = new KeptLines();
    const wereTooMany = slices.map((slice) => {
      parse(lines, slice);
      return lines.areTooMany;
    });
    expect(wereTooMany.some(Boolean)).toBe(areTooMany);
  });

  it('leave out what the parser has given back', () => {
    const lines = new KeptLines();
    const slice = Buffer.from(`HTTP/1.1 200 OK\r\n\r\n${FIELD.repeat(MANY)}`);
    const headBytes = slice.length - FIELD.length * MANY;
    lines.add(slice);
    lines.endHead(0);
    lines.remove(slice.subarray(headBytes));
    lines.settle();
    expect(lines.areTooMany).toBe(false);
  });

  // Guards against reading a long response at three times its cost.
  it('are counted without a look at the bytes of a body', () => {
    const headText = 'HTTP/1.1 200 OK\r\n\r\n';
    const bytes = Buffer.from(headText + 'x\n'.repeat(MANY));
    let looks = 0;
    const slice = new Proxy<Uint8Array>(bytes, {
      get: (target, name): unknown => {
        if (typeof name === 'string' && DIGITS.test(name)) looks++;
        return Reflect.get(target, name, target);
      },
    });
    const lines = new KeptLines();
    lines.add(slice);
    lines.endHead(0);
    lines.skipBody(bytes.subarray(headText.length));
    lines.settle();
    expect(lines.areTooMany).toBe(false);
    expect(looks).toBe(headText.length);
  });
});

/** Does what a socket and a parser do with a slice. */
function parse(lines: KeptLines, parts: Slice): void {
  const slice = Buffer.from(parts.map((part) => part.text).join(''));
  lines.add(slice);
  let end = 0;
  for (const {text: content, found, fields = 0} of parts) {
    const start = end;
    end += content.length;
    if (found === Found.BODY) lines.skipBody(slice.subarray(start, end));
    if (found === Found.INFORMATIONAL) lines.skipInformational(fields);
    if (found === Found.HEAD) lines.endHead(fields);
  }
  lines.settle();
}
