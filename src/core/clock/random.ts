import {randomBytes} from 'node:crypto';

import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

import type {RandomSource} from './types.js';

const ID_BYTES = 8;
const UINT32_RANGE = 2 ** 32;

/**
 * Random numbers of the operating system and the JavaScript engine.
 *
 * @example
 * new SystemRandom().id(); // '9c41d07be2a35f68'
 */
export class SystemRandom implements RandomSource {
  float(): number {
    return Math.random();
  }

  below(bound: number): number {
    return Math.floor(Math.random() * bound);
  }

  id(): string {
    return randomBytes(ID_BYTES).toString('hex');
  }
}

/**
 * Pseudorandom numbers that are reproducible from a seed.
 *
 * @example
 * const random = new SeededRandom(7);
 * random.below(10);
 */
export class SeededRandom implements RandomSource {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  float(): number {
    return this.nextUint32() / UINT32_RANGE;
  }

  below(bound: number): number {
    return Math.floor(this.float() * bound);
  }

  id(): string {
    return this.hexWord() + this.hexWord();
  }

  private nextUint32(): number {
    return this.generator.next() >>> 0;
  }

  private hexWord(): string {
    return this.nextUint32().toString(16).padStart(8, '0');
  }
}
