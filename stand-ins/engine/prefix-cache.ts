/** Prefix cache of an engine; the least recently used blocks are evicted. */
import xxhash from 'xxhash-wasm';

const HASH = await xxhash();

/** Prompt characters per token. */
const CHARACTERS_PER_TOKEN = 4;

/** Prompt or generated tokens per cached block. */
const BLOCK_TOKENS = 16;

/** Capacity of the cache in blocks. */
const MAX_BLOCKS = 4_096;

/** Maximum number of reported prefix fingerprints. */
const MAX_REPORTED = 64;

/** Prompt characters covered by the reported fingerprint. */
export const PREFIX_CHARACTERS = 256;

interface Block {
  /** Covers the block and all blocks before it. */
  readonly hash: string;
  readonly tokens: number;
}

/** Content of the KV cache of a generation: prompt and generated tokens. */
export interface Context {
  readonly prompt: string;
  readonly tokenIds: readonly number[];
}

/** Tracks which blocks and prompt prefixes an engine has cached. */
export class PrefixCache {
  private readonly blocks = new Set<string>();
  private readonly prefixes = new Set<string>();

  /** Fingerprints of recently used prompt prefixes, newest last. */
  get reportedPrefixes(): string[] {
    return [...this.prefixes];
  }

  /** Number of tokens to prefill before the context can be continued. */
  uncachedTokens(context: Context): number {
    const blocks = blocksOf(context);
    const firstMiss = blocks.findIndex((block) => !this.blocks.has(block.hash));
    if (firstMiss < 0) return 0;
    return blocks
      .slice(firstMiss)
      .reduce((sum, block) => sum + block.tokens, 0);
  }

  add(context: Context): void {
    for (const block of blocksOf(context)) {
      refresh(this.blocks, block.hash, MAX_BLOCKS);
    }
    refresh(this.prefixes, prefixFingerprint(context.prompt), MAX_REPORTED);
  }
}

/**
 * Returns the fingerprint that is reported for the prefix of a prompt.
 *
 * @example
 * health.cachedPrefixes.includes(prefixFingerprint(prompt));
 */
export function prefixFingerprint(prompt: string): string {
  return HASH.h64ToString(prompt.slice(0, PREFIX_CHARACTERS));
}

/** Adds an item as the most recently used one; evicts the oldest if full. */
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
