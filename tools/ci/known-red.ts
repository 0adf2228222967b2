/** Failing tests that may land: the entries of KNOWN-RED.txt. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

/** One failing test that is known and listed. */
export interface KnownRed {
  /** Full name of the test; `*` stands for any text. */
  readonly test: string;
  /** Command and seed that show the failure. */
  readonly command: string;
  readonly seen: string;
  readonly issue: string;
}

const SEPARATOR = '|';
const COMMENT = '#';

/**
 * Reads the list: one entry a line, its four fields parted by `|`. Lines that
 * begin with `#` are comments. Fails with the lines that have another shape.
 *
 * @example
 * parseKnownRed('gate > sheds | npx vitest run gate, seed 7 | 503 | issue 4');
 */
export function parseKnownRed(text: string): Result<KnownRed[], string[]> {
  const lines = text.split('\n').map((line) => line.trim());
  const entries: KnownRed[] = [];
  const bad: string[] = [];
  for (const line of lines) {
    if (line === '' || line.startsWith(COMMENT)) continue;
    const fields = line.split(SEPARATOR).map((field) => field.trim());
    const [test = '', command = '', seen = '', issue = ''] = fields;
    const isWhole = fields.length === 4 && !fields.includes('');
    if (isWhole && test !== '*') entries.push({test, command, seen, issue});
    else bad.push(line);
  }
  return bad.length === 0 ? ok(entries) : err(bad);
}

/**
 * Says whether an entry names a test.
 *
 * @example
 * namesTest({entry, test: 'gate > sheds'});
 */
export function matchesTest(options: {entry: KnownRed; test: string}): boolean {
  const {entry, test} = options;
  const parts = entry.test.split('*').map(escapeRegExp);
  return new RegExp(`^${parts.join('.*')}$`, 's').test(test);
}

function escapeRegExp(text: string): string {
  return text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
}
