/** Weighted fair queueing by virtual start times. */

/** What the queue needs to know of an item. */
export interface FairItem {
  /** The flow between which the queue is fair: a client account. */
  readonly flow: string;
  /** Share of the flow, relative to the others. */
  readonly weight: number;
  /** Service that the item takes, in any one unit. */
  readonly cost: number;
}

/** An item with its place in the queue. */
export interface QueuedItem<T> {
  readonly item: T;
  /** Items leave by rising start time. */
  readonly startTime: number;
  /** Breaks ties: first come, first served. */
  readonly order: number;
}

/** A flow with the pressure that its waiting items put on the queue. */
export interface LongestFlow<T> {
  /** Waiting items over the flow's weight. */
  readonly weightedLength: number;
  /** The item that would leave last. */
  readonly last: T;
}

interface Flow<T> {
  /** Virtual time at which all that has left the queue is served. */
  finishTime: number;
  queued: Array<QueuedItem<T>>;
}

/**
 * Start-time fair queueing: each flow's items leave in order of arrival, and
 * flows that wait are served in proportion to their weights. A flow that was
 * idle starts at the present virtual time; it has no claim to the past.
 *
 * @example
 * const queue = new FairQueue<FairItem>();
 * queue.push({flow: 'a', weight: 1, cost: 10});
 * queue.shift();
 */
export class FairQueue<T extends FairItem> {
  private readonly flows = new Map<string, Flow<T>>();
  private virtualTime = 0;
  private nextOrder = 0;
  private count = 0;

  get size(): number {
    return this.count;
  }

  /** Items of one flow that wait. */
  countOf(flow: string): number {
    return this.flows.get(flow)?.queued.length ?? 0;
  }

  push(item: T): void {
    const flow = this.openFlow(item.flow);
    const startTime = this.nextStartTime(flow);
    flow.queued.push({item, startTime, order: this.nextOrder++});
    this.count++;
  }

  /** The item that leaves next. */
  peek(): T | undefined {
    return this.first()?.item;
  }

  /** Takes out the item that leaves next. */
  shift(): T | undefined {
    const first = this.first();
    if (first === undefined) return undefined;
    const {item, startTime} = first;
    const flow = this.openFlow(item.flow);
    flow.queued.shift();
    flow.finishTime = startTime + item.cost / item.weight;
    this.virtualTime = Math.max(this.virtualTime, startTime);
    this.count--;
    this.forgetIdle(item.flow, flow);
    return item;
  }

  /** Takes out an item that is not served; its flow is not charged. */
  remove(item: T): boolean {
    const flow = this.flows.get(item.flow);
    const at = flow?.queued.findIndex((q) => q.item === item) ?? -1;
    if (flow === undefined || at < 0) return false;
    const head = flow.queued[0]!.startTime;
    flow.queued.splice(at, 1);
    this.count--;
    restart(flow, head);
    this.forgetIdle(item.flow, flow);
    return true;
  }

  /**
   * Charges a flow for service beyond an item's cost, or gives back what it
   * did not use where `cost` is negative.
   */
  charge(options: FairItem): void {
    const {weight, cost} = options;
    const flow = this.openFlow(options.flow);
    const shift = cost / weight;
    flow.finishTime = Math.max(0, flow.finishTime + shift);
    const head = flow.queued[0];
    if (head !== undefined) restart(flow, Math.max(0, head.startTime + shift));
    this.forgetIdle(options.flow, flow);
  }

  /** Items that would leave before a new one of this flow. */
  countAhead(flow: string): number {
    const known = this.flows.get(flow);
    const startTime =
      known === undefined ? this.virtualTime : this.nextStartTime(known);
    let before = 0;
    for (const {queued} of this.flows.values()) {
      before += queued.filter((q) => q.startTime <= startTime).length;
    }
    return before;
  }

  /** The flow that takes most of the queue for its weight. */
  longestFlow(): LongestFlow<T> | undefined {
    let longest: LongestFlow<T> | undefined;
    for (const {queued} of this.flows.values()) {
      const last = queued.at(-1)?.item;
      if (last === undefined) continue;
      const pressure = queued.length / last.weight;
      const longer = longest === undefined || pressure > longest.weightedLength;
      if (longer) longest = {weightedLength: pressure, last};
    }
    return longest;
  }

  /** All items in the order in which they leave. */
  ordered(): T[] {
    const all = [...this.flows.values()].flatMap((flow) => flow.queued);
    return all.sort(compare).map((queued) => queued.item);
  }

  private first(): QueuedItem<T> | undefined {
    let first: QueuedItem<T> | undefined;
    for (const {queued} of this.flows.values()) {
      const head = queued[0];
      if (head === undefined) continue;
      if (first === undefined || compare(head, first) < 0) first = head;
    }
    return first;
  }

  private openFlow(name: string): Flow<T> {
    let flow = this.flows.get(name);
    if (flow === undefined) {
      flow = {finishTime: this.virtualTime, queued: []};
      this.flows.set(name, flow);
    }
    return flow;
  }

  private nextStartTime(flow: Flow<T>): number {
    const last = flow.queued.at(-1);
    if (last === undefined) return Math.max(this.virtualTime, flow.finishTime);
    return last.startTime + last.item.cost / last.item.weight;
  }

  private forgetIdle(name: string, flow: Flow<T>): void {
    const idle = flow.queued.length === 0;
    if (idle && flow.finishTime <= this.virtualTime) this.flows.delete(name);
  }
}

/** Lines a flow's items up again behind a new start time. */
function restart<T extends FairItem>(flow: Flow<T>, from: number): void {
  let startTime = from;
  flow.queued = flow.queued.map(({item, order}) => {
    const queued = {item, order, startTime};
    startTime += item.cost / item.weight;
    return queued;
  });
}

function compare<T>(a: QueuedItem<T>, b: QueuedItem<T>): number {
  return a.startTime - b.startTime || a.order - b.order;
}
