import type {ErrorData} from '../../core/errors/index.js';
import type {CliContext} from '../types.js';

/** Prints an error from the catalogue, with a detail and its hint. */
export function reportError(
  ctx: CliContext,
  data: ErrorData,
  detail: string,
): void {
  ctx.err(`${data.title}: ${data.message}\n`);
  ctx.err(`  ${detail}\n`);
  ctx.err(`  ${data.hint}\n`);
}
