/** Weighted fair queueing by virtual start times. */

/** An item of the queue. */
export interface FairItem {
  /** Flow that the item belongs to; here a client account. */
  readonly flow: string;
  /** Weight of the flow, relative to other flows. */
  readonly weight: number;
  /** Cost of serving the item, in a unit common to all items. */
  readonly cost: number;
}

/** An item with its position in the queue. */
export interface QueuedItem<T> {
  readonly item: T;
  /** Virtual start time; items are served in ascending order. */
  readonly startTime: number;
  /** Sequence number of arrival, which breaks ties. */
  readonly order: number;
}

/** The flow with the most waiting items for its weight. */
export interface LongestFlow<T> {
  /** Number of waiting items divided by the flow's weight. */
  readonly weightedLength: number;
  /** Last item of the flow. */
  readonly last: T;
}

interface Flow<T> {
  /** Virtual finish time of the items that were taken out. */
  finishTime: number;
  queued: Array<QueuedItem<T>>;
}

/**
 * Start-time fair queueing: the items of a flow leave in order of arrival, and
 * backlogged flows are served in proportion to their weights. A flow that was
 * idle starts at the current virtual time and gets no credit for idle time.
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

  /** Number of waiting items of a flow. */
  countOf(flow: string): number {
    return this.flows.get(flow)?.queued.length ?? 0;
  }

  push(item: T): void {
    const flow = this.getOrCreateFlow(item.flow);
    const startTime = this.nextStartTime(flow);
    flow.queued.push({item, startTime, order: this.nextOrder++});
    this.count++;
  }

  /** Returns the next item without removing it. */
  peek(): T | undefined {
    return this.first()?.item;
  }

  /** Removes and returns the next item. */
  shift(): T | undefined {
    const first = this.first();
    if (first === undefined) return undefined;
    const {item, startTime} = first;
    const flow = this.getOrCreateFlow(item.flow);
    flow.queued.shift();
    flow.finishTime = startTime + item.cost / item.weight;
    this.virtualTime = Math.max(this.virtualTime, startTime);
    this.count--;
    this.deleteIfIdle(item.flow, flow);
    return item;
  }

  /** Removes an item without serving it; its flow is not charged. */
  remove(item: T): boolean {
    const flow = this.flows.get(item.flow);
    const index = flow?.queued.findIndex((q) => q.item === item) ?? -1;
    if (flow === undefined || index < 0) return false;
    const firstStartTime = flow.queued[0]!.startTime;
    flow.queued.splice(index, 1);
    this.count--;
    reassignStartTimes(flow, firstStartTime);
    this.deleteIfIdle(item.flow, flow);
    return true;
  }

  /**
   * Charges a flow for service beyond an item's cost, or refunds it where
   * `cost` is negative.
   */
  charge(options: FairItem): void {
    const {weight, cost} = options;
    const flow = this.getOrCreateFlow(options.flow);
    const timeShift = cost / weight;
    flow.finishTime = Math.max(0, flow.finishTime + timeShift);
    const head = flow.queued[0];
    if (head !== undefined)
      reassignStartTimes(flow, Math.max(0, head.startTime + timeShift));
    this.deleteIfIdle(options.flow, flow);
  }

  /** Number of items that would be served before a new item of this flow. */
  countAhead(flow: string): number {
    const existing = this.flows.get(flow);
    const startTime =
      existing === undefined ? this.virtualTime : this.nextStartTime(existing);
    let ahead = 0;
    for (const {queued} of this.flows.values()) {
      ahead += queued.filter((q) => q.startTime <= startTime).length;
    }
    return ahead;
  }

  /** The flow with the most waiting items for its weight. */
  longestFlow(): LongestFlow<T> | undefined {
    let longest: LongestFlow<T> | undefined;
    for (const {queued} of this.flows.values()) {
      const last = queued.at(-1)?.item;
      if (last === undefined) continue;
      const weightedLength = queued.length / last.weight;
      const isLonger =
        longest === undefined || weightedLength > longest.weightedLength;
      if (isLonger) longest = {weightedLength, last};
    }
    return longest;
  }

  /** All items in the order of service. */
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

  private getOrCreateFlow(name: string): Flow<T> {
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

  private deleteIfIdle(name: string, flow: Flow<T>): void {
    const isEmpty = flow.queued.length === 0;
    if (isEmpty && flow.finishTime <= this.virtualTime) this.flows.delete(name);
  }
}

/** Recomputes the start times of a flow's items, given that of the first. */
function reassignStartTimes<T extends FairItem>(
  flow: Flow<T>,
  firstStartTime: number,
): void {
  let startTime = firstStartTime;
  flow.queued = flow.queued.map(({item, order}) => {
    const queued = {item, order, startTime};
    startTime += item.cost / item.weight;
    return queued;
  });
}

function compare<T>(a: QueuedItem<T>, b: QueuedItem<T>): number {
  return a.startTime - b.startTime || a.order - b.order;
}
