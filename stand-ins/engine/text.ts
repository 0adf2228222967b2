/**
 * Deterministic output of the model engine. Token `i` depends only on the
 * prompt and on `i`, so that tests can compute the expected output.
 */
import {StringDecoder} from 'node:string_decoder';

import xxhash from 'xxhash-wasm';

import type {Token} from '../../src/core/edges/index.js';
import {FinishReason} from '../../src/core/edges/index.js';
import {bytesOf, PAIR_COUNT, tokenIdOf} from './vocabulary.js';

const HASH = await xxhash();

/** Tokens of an output if the prompt has no `[length=N]`. */
export const DEFAULT_LENGTH_TOKENS = 200;

const LENGTH_PATTERN = /\[length=(\d+)\]/;

/** Multipliers of the MurmurHash3 finaliser. */
const MIX_A = 0x85ebca6b;
const MIX_B = 0xc2b2ae35;

/** Parameters that determine an output. */
export interface OutputSpec {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stop: readonly string[];
}

/** A complete output. */
export interface Output {
  readonly tokens: readonly Token[];
  readonly finishReason: FinishReason;
}

/** Generates one output token by token, optionally after given tokens. */
export class OutputGenerator {
  private readonly decoder = new StringDecoder('utf8');
  private readonly ids: number[] = [];
  private readonly seed: number;
  private readonly naturalLength: number;
  private readonly stop: readonly string[];
  private tail = '';
  private stopped = false;

  constructor(
    private readonly spec: OutputSpec,
    resumeIds: readonly number[] = [],
  ) {
    this.seed = HASH.h32(spec.prompt);
    this.naturalLength = naturalLengthOf(spec.prompt);
    this.stop = spec.stop.filter((text) => text !== '');
    for (const id of resumeIds) this.append(id);
  }

  /** Token ids so far, including those that the generation resumed after. */
  get tokenIds(): readonly number[] {
    return this.ids;
  }

  /** Reason for the end of the output; undefined before the end. */
  get finishReason(): FinishReason | undefined {
    if (this.stopped) return FinishReason.STOP;
    if (this.ids.length >= this.naturalLength) return FinishReason.STOP;
    if (this.ids.length >= this.spec.maxTokens) return FinishReason.LENGTH;
    return undefined;
  }

  /** Generates the next token. */
  next(): Token {
    return this.append(tokenIdAt(this.seed, this.ids.length));
  }

  private append(id: number): Token {
    const text = this.decoder.write(bytesOf(id));
    this.ids.push(id);
    this.tail += text;
    this.stopped ||= this.stop.some((stop) => this.tail.includes(stop));
    const longest = Math.max(1, ...this.stop.map((stop) => stop.length));
    this.tail = this.tail.slice(-longest);
    return {id, text};
  }
}

/**
 * Returns the complete output. The token that completes a stop string is the
 * last one.
 *
 * @example
 * expectedOutput({prompt: 'Draft a quote', maxTokens: 50, stop: []}).tokens;
 */
export function expectedOutput(spec: OutputSpec): Output {
  const generator = new OutputGenerator(spec);
  const tokens: Token[] = [];
  for (;;) {
    const finishReason = generator.finishReason;
    if (finishReason !== undefined) return {tokens, finishReason};
    tokens.push(generator.next());
  }
}

function naturalLengthOf(prompt: string): number {
  const match = LENGTH_PATTERN.exec(prompt);
  return match === null ? DEFAULT_LENGTH_TOKENS : Number(match[1]);
}

function tokenIdAt(seed: number, position: number): number {
  const pairIndex = Math.floor(position / 2);
  const pair = mix(seed + pairIndex) % PAIR_COUNT;
  return tokenIdOf({pair, half: position % 2});
}

function mix(value: number): number {
  let h = value | 0;
  h = Math.imul(h ^ (h >>> 16), MIX_A);
  h = Math.imul(h ^ (h >>> 13), MIX_B);
  return (h ^ (h >>> 16)) >>> 0;
}
