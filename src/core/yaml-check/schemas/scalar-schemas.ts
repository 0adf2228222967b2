/** Schemas of scalar values. */
import type {CheckContext, Schema, SourceNode} from '../types.js';
import {NodeKind} from '../types.js';
import {reportMismatch} from './report.js';

/**
 * Accepts non-empty strings, or strings of one format.
 *
 * @example
 * const schema = new StringSchema({
 *   description: 'an upper-case letter',
 *   accepts: (value) => /^[A-Z]$/.test(value),
 * });
 */
export class StringSchema implements Schema<string> {
  readonly description: string;
  private readonly accepts: (value: string) => boolean;

  constructor(
    options: {
      description?: string;
      /**
       * Whether a value has the right format; by default, if it is not empty.
       */
      accepts?: (value: string) => boolean;
    } = {},
  ) {
    this.description = options.description ?? 'a string';
    this.accepts = options.accepts ?? ((value) => value !== '');
  }

  check(node: SourceNode, ctx: CheckContext): string | undefined {
    const value = node.kind === NodeKind.SCALAR ? node.value : null;
    if (typeof value === 'string' && this.accepts(value)) {
      return value;
    }
    return reportMismatch(node, ctx, this.description);
  }
}

/**
 * Accepts `true` and `false`.
 *
 * @example
 * const schema = new BooleanSchema();
 */
export class BooleanSchema implements Schema<boolean> {
  readonly description = 'true or false';

  check(node: SourceNode, ctx: CheckContext): boolean | undefined {
    if (node.kind === NodeKind.SCALAR && typeof node.value === 'boolean') {
      return node.value;
    }
    return reportMismatch(node, ctx, this.description);
  }
}

/** Inclusive bounds of a number, and its unit as shown in problems. */
export interface NumberRange {
  readonly min: number;
  readonly max: number;
  readonly unit?: string;
}

/**
 * Accepts numbers in a range.
 *
 * @example
 * const schema = new NumberSchema({min: 0, max: 1});
 */
export class NumberSchema implements Schema<number> {
  readonly description: string;

  constructor(
    private readonly range: NumberRange,
    noun = 'a number',
  ) {
    const unit = range.unit === undefined ? '' : ` ${range.unit}`;
    this.description = `${noun} from ${range.min} to ${range.max}${unit}`;
  }

  check(node: SourceNode, ctx: CheckContext): number | undefined {
    const value = node.kind === NodeKind.SCALAR ? node.value : null;
    if (typeof value === 'number' && this.accepts(value)) {
      return value;
    }
    return reportMismatch(node, ctx, this.description);
  }

  protected accepts(value: number): boolean {
    return value >= this.range.min && value <= this.range.max;
  }
}

/**
 * Accepts integers in a range.
 *
 * @example
 * const schema = new IntegerSchema({min: 0, max: 10_000, unit: 'bytes'});
 */
export class IntegerSchema extends NumberSchema {
  constructor(range: NumberRange) {
    super(range, 'an integer');
  }

  protected override accepts(value: number): boolean {
    return Number.isSafeInteger(value) && super.accepts(value);
  }
}

/**
 * Accepts the values of one enum.
 *
 * @example
 * const schema = new EnumSchema(PriorityClass);
 */
export class EnumSchema<T extends string> implements Schema<T> {
  readonly description: string;
  private readonly values: readonly T[];

  constructor(type: Readonly<Record<string, T>>) {
    this.values = Object.values(type);
    this.description = `one of ${this.values.join(', ')}`;
  }

  check(node: SourceNode, ctx: CheckContext): T | undefined {
    const found = node.kind === NodeKind.SCALAR ? node.value : null;
    const value = this.values.find((candidate) => candidate === found);
    return value ?? reportMismatch(node, ctx, this.description);
  }
}
