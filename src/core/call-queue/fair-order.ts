/** The order in which waiting plain calls of several client accounts are sent. */
import {compareUrgency, isLate} from './compare-urgency.js';
import type {QueuedCall} from './types.js';

/** A call that waits. */
interface Waiting {
  readonly call: QueuedCall;
}

/** A call and its turn among all accounts. */
interface Turn<T> {
  readonly item: T;
  readonly turn: number;
}

/**
 * Shares out turns among client accounts by start-time fair queueing: each
 * account's next call comes after those that others have been waiting with for as
 * many turns. The turns decide among calls of the same priority that are equally
 * late or on time; those of one account keep the order of `compareUrgency`.
 *
 * @example
 * const order = new FairOrder();
 * const [first] = order.sort(waiting, earliestEndMs);
 * order.recordSent(first.call);
 */
export class FairOrder {
  /** The next turn of each account that was sent something lately. */
  private readonly nextTurns = new Map<string, number>();
  /** The turn of the call that was sent last. */
  private turn = 0;

  /** The calls in the order in which they are sent. */
  sort<T extends Waiting>(waiting: Iterable<T>, earliestEndMs: number): T[] {
    const items = [...waiting];
    if (items.length < 2) return items;
    items.sort((a, b) => compareUrgency({a: a.call, b: b.call, earliestEndMs}));
    if (hasOneAccount(items)) return items;
    return this.toTurns(items)
      .sort(
        (a, b) =>
          a.item.call.priority - b.item.call.priority ||
          isLate(a.item.call, earliestEndMs) -
            isLate(b.item.call, earliestEndMs) ||
          a.turn - b.turn,
      )
      .map(({item}) => item);
  }

  /** A call that waited is sent. */
  recordSent(call: QueuedCall): void {
    const account = accountOf(call);
    const turn = this.nextTurnOf(account);
    this.turn = Math.max(this.turn, turn);
    this.nextTurns.set(account, turn + 1);
  }

  /** No call waits any more. */
  clear(): void {
    this.nextTurns.clear();
    this.turn = 0;
  }

  private toTurns<T extends Waiting>(items: readonly T[]): Array<Turn<T>> {
    const next = new Map<string, number>();
    return items.map((item) => {
      const account = accountOf(item.call);
      const turn = next.get(account) ?? this.nextTurnOf(account);
      next.set(account, turn + 1);
      return {item, turn};
    });
  }

  /** An account that was sent nothing lately has saved up no turns. */
  private nextTurnOf(account: string): number {
    return Math.max(this.turn, this.nextTurns.get(account) ?? 0);
  }
}

function hasOneAccount(items: readonly Waiting[]): boolean {
  const account = accountOf(items[0]!.call);
  return items.every(({call}) => accountOf(call) === account);
}

function accountOf({clientAccount}: QueuedCall): string {
  return clientAccount ?? '';
}
