/** Reads the key of a client account without showing it. */
import {KEY_VARIABLE} from '../../consts.js';
import type {CliContext} from '../../types.js';
import type {RouteOptions} from './types.js';

/**
 * Returns the key with which the question is asked; undefined if there is none.
 * Arguments are shown to whoever lists the processes of the machine, so it is
 * read from the standard input or the environment. An account that is named
 * stands in place of the one of the environment.
 *
 * @example
 * const key = await readKey(ctx, {...options, keyStdin: true});
 */
export async function readKey(
  ctx: CliContext,
  {account, keyStdin}: RouteOptions,
): Promise<string | undefined> {
  const read = async () => {
    if (keyStdin === true) return ctx.readInput();
    return account === undefined ? ctx.env[KEY_VARIABLE] : undefined;
  };
  const key = (await read())?.trim();
  return key === '' ? undefined : key;
}
