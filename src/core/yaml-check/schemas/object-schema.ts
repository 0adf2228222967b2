import {createProblem} from '../format.js';
import {findNearestKey} from '../nearest-key.js';
import {findPosition} from '../nodes.js';
import type {
  CheckContext,
  MapNode,
  RuleContext,
  Schema,
  SourceNode,
} from '../types.js';
import {NodeKind} from '../types.js';
import {createRuleContext, reportMismatch} from './report.js';

/** A field of an object. */
export interface Field<T> {
  readonly schema: Schema<T>;
  readonly isRequired: boolean;
  /** Default value if the field is absent. */
  readonly fallback?: T;
}

/** Fields by key. */
export type Fields<T> = {readonly [K in keyof T]-?: Field<T[K]>};

/**
 * A rule over the fields of an object. Fields that are absent or invalid are
 * undefined.
 */
export type ObjectRule<T> = (value: Partial<T>, ctx: RuleContext) => void;

/**
 * Declares a required field.
 *
 * @example
 * const fields = {name: requiredField(new StringSchema())};
 */
export function requiredField<T>(schema: Schema<T>): Field<T> {
  return {schema, isRequired: true};
}

/**
 * Declares an optional field.
 *
 * @example
 * const fields = {name: optionalField(new StringSchema())};
 */
export function optionalField<T>(schema: Schema<T>): Field<T | undefined> {
  return {schema, isRequired: false};
}

/**
 * Declares an optional field with a default value.
 *
 * @example
 * const fields = {isEnabled: defaultField(new BooleanSchema(), false)};
 */
export function defaultField<T>(
  schema: Schema<T>,
  fallback: NoInfer<T>,
): Field<T> {
  return {schema, isRequired: false, fallback};
}

/**
 * Accepts maps with declared fields and no other keys.
 *
 * @example
 * const schema = new ObjectSchema<{port: number}>({
 *   fields: {port: requiredField(new IntegerSchema({min: 0, max: 65535}))},
 * });
 */
export class ObjectSchema<T extends object> implements Schema<T> {
  readonly description = 'a map';
  private readonly fields: Fields<T>;
  private readonly rules: readonly ObjectRule<T>[];

  constructor(options: {fields: Fields<T>; rules?: readonly ObjectRule<T>[]}) {
    this.fields = options.fields;
    this.rules = options.rules ?? [];
  }

  check(node: SourceNode, ctx: CheckContext): T | undefined {
    if (node.kind !== NodeKind.MAP) {
      return reportMismatch(node, ctx, this.description);
    }
    const before = ctx.problems.length;
    this.checkKeys(node, ctx);
    const value = this.checkFields(node, ctx);
    this.rules.forEach((rule) => rule(value, createRuleContext(node, ctx)));
    return ctx.problems.length === before ? (value as T) : undefined;
  }

  private checkKeys(node: MapNode, ctx: CheckContext): void {
    const known = Object.keys(this.fields);
    for (const [key, {keyPosition}] of node.entries) {
      if (known.includes(key)) {
        continue;
      }
      const expected = findNearestKey(key, known)
        .map((nearest) => `a known key (did you mean "${nearest}"?)`)
        .orDefault(`a known key (${known.join(', ')})`);
      const path = [...ctx.path, key];
      const found = `unknown key ${JSON.stringify(key)}`;
      ctx.problems.push(
        createProblem({position: keyPosition, path, expected, found}),
      );
    }
  }

  private checkFields(node: MapNode, ctx: CheckContext): Partial<T> {
    const value: Partial<T> = {};
    for (const key of Object.keys(this.fields) as (keyof T & string)[]) {
      const checked = this.checkField(key, node, ctx);
      if (checked !== undefined) {
        value[key] = checked;
      }
    }
    return value;
  }

  private checkField<K extends keyof T & string>(
    key: K,
    node: MapNode,
    ctx: CheckContext,
  ): T[K] | undefined {
    const field = this.fields[key];
    const entry = node.entries.get(key);
    const path = [...ctx.path, key];
    if (entry !== undefined) {
      return field.schema.check(entry.node, {...ctx, path});
    }
    if (field.isRequired) {
      const position = findPosition(node, [key]);
      const expected = field.schema.description;
      const found = 'nothing';
      ctx.problems.push(createProblem({position, path, expected, found}));
    }
    return field.fallback;
  }
}
