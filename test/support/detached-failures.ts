/** Exceptions that would have ended the process. */
import {afterEach, beforeEach} from 'vitest';

/**
 * Collects the exceptions that reach the process in each test of a file.
 *
 * @example
 * const escaped = collectEscapedFailures();
 * expect(escaped()).toEqual([]);
 */
export function collectEscapedFailures(): () => readonly string[] {
  let escaped: string[] = [];
  const collect = (cause: unknown): void => void escaped.push(String(cause));
  beforeEach(() => {
    escaped = [];
    process.on('uncaughtException', collect);
    process.on('unhandledRejection', collect);
  });
  afterEach(() => {
    process.off('uncaughtException', collect);
    process.off('unhandledRejection', collect);
  });
  return () => escaped;
}
