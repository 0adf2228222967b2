import type {ErrorData} from '../../core/errors/index.js';
import type {CliContext} from '../types.js';

/**
 * Prints an error of `core/errors` with a detail, and a hint on what to do.
 *
 * @example
 * reportError(ctx, STORE_UNREACHABLE, 'connect ECONNREFUSED 10.0.0.10:7000');
 */
export function reportError(
  ctx: CliContext,
  data: ErrorData,
  detail: string,
): void {
  ctx.err(`${data.title}: ${data.message}\n`);
  ctx.err(`  ${detail}\n`);
  ctx.err(`  ${data.hint}\n`);
}
