/** Reads the question for a plan. */
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';

import type {PromptPart} from '../edges/direct-caller.js';
import {MAX_PROMPT_PARTS} from './consts.js';
import type {RouteQuery} from './types.js';

/** Names of the parameters. */
export enum RouteParameter {
  HOST = 'host',
  PATH = 'path',
  CLIENT_ACCOUNT = 'account',
  PRIORITY = 'priority',
  PROMPT_TOKENS = 'prompt-tokens',
  OUTPUT_TOKENS = 'output-tokens',
  /** ID:TOKENS; may be given several times. */
  PROMPT_PART = 'part',
  DEADLINE_MS = 'deadline',
}

const KNOWN: ReadonlySet<string> = new Set(Object.values(RouteParameter));

const COUNT = /^\d{1,12}$/;

/**
 * Parses the parameters of a question; the error is one line of text.
 *
 * @example
 * parseRouteQuery({params: new URLSearchParams('host=a.example&path=/stock/1')});
 */
export function parseRouteQuery(options: {
  params: URLSearchParams;
  /** Key of a client account, which comes apart from the parameters. */
  key?: string;
}): Result<RouteQuery, string> {
  const {params, key} = options;
  const unknown = [...params.keys()].find((name) => !KNOWN.has(name));
  if (unknown !== undefined) return err(`unknown parameter "${unknown}"`);
  const host = params.get(RouteParameter.HOST) ?? '';
  const path = params.get(RouteParameter.PATH) ?? '';
  const clientAccount = params.get(RouteParameter.CLIENT_ACCOUNT) ?? undefined;
  if (host === '') return err('"host" is missing');
  if (!path.startsWith('/')) return err('"path" has to begin with a slash');
  if (key !== undefined && clientAccount !== undefined)
    return err('give either a key or "account"');
  const counts = new Map<RouteParameter, number>();
  for (const name of COUNTS) {
    const text = params.get(name);
    if (text === null) continue;
    if (!COUNT.test(text)) return err(`"${name}" has to be a whole number`);
    counts.set(name, Number(text));
  }
  const promptTokens = counts.get(RouteParameter.PROMPT_TOKENS);
  const maxOutputTokens = counts.get(RouteParameter.OUTPUT_TOKENS);
  if ((promptTokens === undefined) !== (maxOutputTokens === undefined))
    return err('"prompt-tokens" and "output-tokens" belong together');
  return parseParts(params.getAll(RouteParameter.PROMPT_PART)).map(
    (promptParts) => ({
      host,
      path,
      key,
      clientAccount,
      promptParts,
      priority: counts.get(RouteParameter.PRIORITY),
      deadlineMs: counts.get(RouteParameter.DEADLINE_MS),
      generation:
        promptTokens === undefined || maxOutputTokens === undefined
          ? undefined
          : {promptTokens, maxOutputTokens},
    }),
  );
}

const COUNTS = [
  RouteParameter.PRIORITY,
  RouteParameter.PROMPT_TOKENS,
  RouteParameter.OUTPUT_TOKENS,
  RouteParameter.DEADLINE_MS,
];

function parseParts(texts: readonly string[]): Result<PromptPart[], string> {
  if (texts.length > MAX_PROMPT_PARTS)
    return err(`more than ${MAX_PROMPT_PARTS} prompt parts`);
  const parts: PromptPart[] = [];
  for (const text of texts) {
    const [id = '', tokens = '', ...rest] = text.split(':');
    if (id === '' || !COUNT.test(tokens) || rest.length > 0)
      return err('"part" has to be ID:TOKENS');
    parts.push({id, tokens: Number(tokens)});
  }
  return ok(parts);
}
