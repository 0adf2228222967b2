/** Ends a process that cannot start. */

/** Exit status of a process whose start failed unexpectedly. */
const EXIT_FAILED = 1;

/**
 * Writes the cause to standard error and exits.
 *
 * @example
 * start().catch(exitOnFailure);
 */
export function exitOnFailure(cause: unknown): never {
  const text = cause instanceof Error ? cause.stack : undefined;
  process.stderr.write(`cannot start: ${text ?? String(cause)}\n`);
  process.exit(EXIT_FAILED);
}
