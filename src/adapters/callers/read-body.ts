/** Reads request bodies with limits on their size and time. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

import {isNestedTooDeeply} from '../../core/codec/nesting.js';
import type {LimitsConfig} from '../../core/config/types.js';
import type {Refusal} from '../../core/errors/index.js';
import {Executed, RefusalReason} from '../../core/errors/index.js';

/**
 * Reads a complete body, or refuses it as too large or too slow.
 *
 * @example
 * const body = await readBody({req, limits});
 */
export async function readBody(options: {
  req: Request;
  limits: LimitsConfig;
}): Promise<Result<Uint8Array, Refusal>> {
  const {req, limits} = options;
  const declared = Number(req.headers.get('content-length') ?? 0);
  if (declared > limits.bodyBytes) return err(refuseTooLarge(limits));
  const reader = req.body?.getReader();
  if (reader === undefined) return ok(new Uint8Array());
  const timeout = createTimeout(limits.bodyTimeoutMs);
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    for (;;) {
      const result = await Promise.race([reader.read(), timeout.expired]);
      if (result === undefined) return err(refuseTooSlow(limits));
      if (result.done) return ok(Buffer.concat(chunks));
      const chunk = result.value as Uint8Array;
      size += chunk.length;
      if (size > limits.bodyBytes) return err(refuseTooLarge(limits));
      chunks.push(chunk);
    }
  } catch {
    return err(refuse(RefusalReason.BAD_REQUEST, 'the body broke off'));
  } finally {
    timeout.cancel();
  }
}

/**
 * Reads a body as JSON; a body that is not JSON is refused.
 *
 * @example
 * const value = await readJson({req, limits});
 */
export async function readJson(options: {
  req: Request;
  limits: LimitsConfig;
}): Promise<Result<unknown, Refusal>> {
  const body = await readBody(options);
  return body.andThen(parseJson);
}

function parseJson(body: Uint8Array): Result<unknown, Refusal> {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString('utf8'));
  } catch {
    return err(refuse(RefusalReason.BAD_REQUEST, 'the body is not JSON'));
  }
  return isNestedTooDeeply(value)
    ? err(refuse(RefusalReason.BAD_REQUEST, 'the body is nested too deeply'))
    : ok(value);
}

function createTimeout(timeoutMs: number) {
  let timer: NodeJS.Timeout | undefined;
  const expired = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), timeoutMs);
  });
  return {expired, cancel: () => clearTimeout(timer)};
}

function refuseTooLarge(limits: LimitsConfig): Refusal {
  const detail = `a body is at most ${limits.bodyBytes} bytes`;
  return refuse(RefusalReason.BODY_TOO_LARGE, detail);
}

function refuseTooSlow(limits: LimitsConfig): Refusal {
  const detail = `a body is sent within ${limits.bodyTimeoutMs} ms`;
  return refuse(RefusalReason.BODY_TOO_SLOW, detail);
}

function refuse(reason: RefusalReason, detail: string): Refusal {
  return {reason, ran: Executed.NO, detail};
}
