/** Types of generations that wait for room at an engine. */

/** A generation, as far as its order in a queue depends on it. */
export interface RoomRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly clientAccount: string;
  /** When it was received, on the monotonic clock in milliseconds. */
  readonly receivedMs: number;
  /** Time by which its first event is on time. */
  readonly objectiveAtMs: number;
  /** Time by which its caller or its route ends it. */
  readonly deadlineAtMs: number;
  /** Expected time from its start at an engine to its first event. */
  readonly firstEventMs: number;
  /** Shortest time from its start at an engine to its end; 0 if unknown. */
  readonly shortestMs: number;
}

/** What becomes of a generation that has found no room so far. */
export enum RoomDecision {
  WAIT = 'wait',
  /** Its time is nearly over: an engine's own queue decides. */
  SEND_ANYWAY = 'send anyway',
  /** It can't end before its deadline. */
  REFUSE = 'refuse',
}
