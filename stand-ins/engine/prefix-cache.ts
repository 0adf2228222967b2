/** Which prefixes an engine holds; the oldest blocks are evicted first. */
import xxhash from 'xxhash-wasm';

const HASH = await xxhash();

/** Characters of a prompt that count as one token. */
const CHARACTERS_PER_TOKEN = 4;

/** Tokens of one cached block. */
const BLOCK_TOKENS = 16;

/** Blocks that fit in the cache. */
const MAX_BLOCKS = 4_096;

/** Prefix fingerprints that are reported. */
const MAX_REPORTED = 64;

/** Characters of a prompt that its reported fingerprint covers. */
export const PREFIX_CHARACTERS = 256;

interface Block {
  readonly hash: string;
  readonly tokens: number;
}

/** What fills an engine's memory: a prompt and the answer so far. */
export interface Context {
  readonly prompt: string;
  readonly tokenIds: readonly number[];
}

/** The prefix cache of one engine. */
export class PrefixCache {
  private readonly blocks = new Set<string>();
  private readonly prefixes = new Set<string>();

  /** Fingerprints of recent prompt prefixes, newest last. */
  get reportedPrefixes(): string[] {
    return [...this.prefixes];
  }

  /** Tokens that must be computed before the context can be continued. */
  uncachedTokens(context: Context): number {
    const blocks = blocksOf(context);
    const miss = blocks.findIndex((block) => !this.blocks.has(block.hash));
    if (miss < 0) return 0;
    return blocks.slice(miss).reduce((sum, block) => sum + block.tokens, 0);
  }

  add(context: Context): void {
    for (const block of blocksOf(context)) {
      refresh(this.blocks, block.hash, MAX_BLOCKS);
    }
    refresh(this.prefixes, prefixFingerprint(context.prompt), MAX_REPORTED);
  }
}

/**
 * Returns the fingerprint under which a prompt's prefix is reported.
 *
 * @example
 * health.cachedPrefixes.includes(prefixFingerprint(prompt));
 */
export function prefixFingerprint(prompt: string): string {
  return HASH.h64ToString(prompt.slice(0, PREFIX_CHARACTERS));
}

function refresh(set: Set<string>, item: string, limit: number): void {
  set.delete(item);
  set.add(item);
  const [oldest] = set;
  if (set.size > limit && oldest !== undefined) set.delete(oldest);
}

function blocksOf({prompt, tokenIds}: Context): Block[] {
  const blocks: Block[] = [];
  let hash = '';
  const push = (content: string, tokens: number): void => {
    hash = HASH.h64ToString(`${hash}:${content}`);
    blocks.push({hash, tokens});
  };
  const step = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
  for (let at = 0; at < prompt.length; at += step) {
    const piece = prompt.slice(at, at + step);
    push(piece, Math.ceil(piece.length / CHARACTERS_PER_TOKEN));
  }
  for (let at = 0; at < tokenIds.length; at += BLOCK_TOKENS) {
    const ids = tokenIds.slice(at, at + BLOCK_TOKENS);
    push(ids.join(','), ids.length);
  }
  return blocks;
}
