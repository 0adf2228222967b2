/** Entries of KNOWN-RED.txt: failing tests that CI tolerates. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

/** An entry of KNOWN-RED.txt. */
export interface KnownRed {
  /** Full name of the test; `*` matches any text. */
  readonly test: string;
  /** Command and seed that reproduce the failure. */
  readonly command: string;
  /** Observed failure. */
  readonly seen: string;
  /** Issue about the failure. */
  readonly issue: string;
}

const SEPARATOR = '|';
const COMMENT = '#';

/**
 * Parses KNOWN-RED.txt: one entry per line, with four fields separated by `|`.
 * Lines that start with `#` are comments. Fails with the malformed lines; an
 * entry that would match all tests is one of them.
 *
 * @example
 * parseKnownRed('relay > cuts | npx vitest run relay, seed 7 | 503 | issue 4');
 */
export function parseKnownRed(text: string): Result<KnownRed[], string[]> {
  const lines = text.split('\n').map((line) => line.trim());
  const entries: KnownRed[] = [];
  const malformed: string[] = [];
  for (const line of lines) {
    if (line === '' || line.startsWith(COMMENT)) continue;
    const fields = line.split(SEPARATOR).map((field) => field.trim());
    const [test = '', command = '', seen = '', issue = ''] = fields;
    const isComplete = fields.length === 4 && !fields.includes('');
    if (isComplete && test !== '*') entries.push({test, command, seen, issue});
    else malformed.push(line);
  }
  return malformed.length === 0 ? ok(entries) : err(malformed);
}

/**
 * Returns whether an entry matches the full name of a test.
 *
 * @example
 * matchesTest({entry, test: 'relay > cuts'});
 */
export function matchesTest(options: {entry: KnownRed; test: string}): boolean {
  const {entry, test} = options;
  const parts = entry.test.split('*').map(escapeRegExp);
  return new RegExp(`^${parts.join('.*')}$`, 's').test(test);
}

function escapeRegExp(text: string): string {
  return text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
}
