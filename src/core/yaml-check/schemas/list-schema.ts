import type {CheckContext, Schema, SourceNode} from '../types.js';
import {NodeKind} from '../types.js';
import {reportMismatch} from './report.js';

/**
 * Accepts lists whose items all match one schema.
 *
 * @example
 * const schema = new ListSchema(new StringSchema());
 */
export class ListSchema<T> implements Schema<readonly T[]> {
  readonly description = 'a list';

  constructor(private readonly item: Schema<T>) {}

  check(node: SourceNode, ctx: CheckContext): readonly T[] | undefined {
    if (node.kind !== NodeKind.LIST) {
      return reportMismatch(node, ctx, this.description);
    }
    const values: T[] = [];
    node.items.forEach((item, i) => {
      const value = this.item.check(item, {...ctx, path: [...ctx.path, i]});
      if (value !== undefined) {
        values.push(value);
      }
    });
    return values.length === node.items.length ? values : undefined;
  }
}
