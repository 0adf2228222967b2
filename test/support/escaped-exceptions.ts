/** Exceptions that would have ended the process of the product. */
import {afterEach, beforeEach} from 'vitest';

/**
 * Returns a function that tells the exceptions and rejections that nothing has
 * handled since the begin of a test. To be called within `describe`.
 *
 * @example
 * const escaped = escapedExceptions();
 * it('ends nothing else', () => expect(escaped()).toEqual([]));
 */
export function escapedExceptions(): () => unknown[] {
  let escaped: unknown[] = [];
  const record = (cause: unknown) => escaped.push(cause);
  beforeEach(() => {
    escaped = [];
    process.on('uncaughtException', record);
    process.on('unhandledRejection', record);
  });
  afterEach(() => {
    process.off('uncaughtException', record);
    process.off('unhandledRejection', record);
  });
  return () => escaped;
}
