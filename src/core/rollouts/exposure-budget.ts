/** Bounds what an entry sends to a version that is not trusted yet. */

/**
 * Counts the requests of a service that reach its targets at one entry. Each
 * entry keeps the bound for its own requests alone, so it holds for the sum of
 * any entries, whatever they know of each other, and no message is needed.
 *
 * @example
 * const budget = new ExposureBudget({share: 0.1});
 * budget.recordReached();
 * if (budget.maySend()) budget.recordSentToNew();
 */
export class ExposureBudget {
  private reached = 0;
  private sentToNew = 0;
  /** Counts since the step began, for its own share. */
  private stepReached = 0;
  private stepSentToNew = 0;
  /** Requests beyond the share. */
  private slack = 0;

  constructor(private readonly options: {share: number}) {}

  /** Records a request that has reached a target of any version. */
  recordReached(): void {
    this.reached++;
    this.stepReached++;
  }

  /** Records a request before it is sent to the new version. */
  recordSentToNew(): void {
    this.sentToNew++;
    this.stepSentToNew++;
  }

  /** Takes back a request to the new version that was not sent after all. */
  recordHeldBack(): void {
    this.sentToNew--;
    this.stepSentToNew = Math.max(0, this.stepSentToNew - 1);
  }

  /** Begins a step, whose share counts from now on. */
  beginStep(): void {
    this.stepReached = 0;
    this.stepSentToNew = 0;
  }

  /** Whether one more request to the new version is within the bound. */
  maySend(): boolean {
    const {sentToNew, reached, slack} = this;
    return sentToNew + 1 <= this.options.share * reached + slack;
  }

  /** Allows this entry some requests beyond the share. */
  setSlack(requests: number): void {
    this.slack = requests;
  }

  /**
   * Whether the new version has had less than a share of this step, or not yet
   * the slack.
   */
  isBelow(share: number): boolean {
    const isBelowShare = this.stepSentToNew < share * this.stepReached;
    return isBelowShare || this.sentToNew < this.slack;
  }

  /** Requests that this entry has sent to the new version. */
  get sent(): number {
    return this.sentToNew;
  }

  /** Requests of this entry that have reached targets of the service. */
  get total(): number {
    return this.reached;
  }
}
