import {createProblem} from '../format.js';
import type {CheckContext, RuleContext, Schema, SourceNode} from '../types.js';
import {NodeKind} from '../types.js';
import {createRuleContext, reportMismatch} from './report.js';

/** An item of a map with its key as `name`. */
export type Named<T> = {readonly name: string} & T;

/** A rule over the valid items of a map. */
export type NamedMapRule<T> = (
  items: readonly Named<T>[],
  ctx: RuleContext,
) => void;

/** Format of a name, which is used in URLs, counters and object names. */
const NAME = /^[a-z0-9][a-z0-9._-]{0,62}$/;

/**
 * Accepts maps from arbitrary names to items that match one schema.
 *
 * @example
 * const schema = new NamedMapSchema({item: SERVICE, rules: [checkNotEmpty]});
 */
export class NamedMapSchema<T extends object> implements Schema<
  readonly Named<T>[]
> {
  readonly description = 'a map of named items';
  private readonly item: Schema<T>;
  private readonly rules: readonly NamedMapRule<T>[];

  constructor(options: {item: Schema<T>; rules?: readonly NamedMapRule<T>[]}) {
    this.item = options.item;
    this.rules = options.rules ?? [];
  }

  check(node: SourceNode, ctx: CheckContext): readonly Named<T>[] | undefined {
    if (node.kind !== NodeKind.MAP) {
      return reportMismatch(node, ctx, this.description);
    }
    const before = ctx.problems.length;
    const items: Named<T>[] = [];
    for (const [name, {keyPosition, node: child}] of node.entries) {
      const path = [...ctx.path, name];
      if (!NAME.test(name)) {
        const expected = `a name of the form ${NAME.source}`;
        const found = JSON.stringify(name);
        ctx.problems.push(
          createProblem({position: keyPosition, path, expected, found}),
        );
      }
      const value = this.item.check(child, {...ctx, path});
      if (value !== undefined) {
        items.push({name, ...value});
      }
    }
    this.rules.forEach((rule) => rule(items, createRuleContext(node, ctx)));
    return ctx.problems.length === before ? items : undefined;
  }
}
