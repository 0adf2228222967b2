/** Decides which entry writes the status of a roll-out, and what. */
import {createHash} from 'node:crypto';

import {COMPLETE_WITHOUT_WAIT_FROM, MIN_FULL_MS} from './consts.js';
import type {EvidenceRow, RolloutEnd, RolloutRecord} from './types.js';
import {RolloutState, RolloutStep} from './types.js';

/** What an entry knows when it decides on the status. */
export interface StatusQuery {
  readonly record: RolloutRecord;
  /** Whether any entry has found the version to be bad. */
  readonly isBad: boolean;
  /** Whether the version was in use before, so that nothing has to move. */
  readonly isInUse: boolean;
  /** Whether it is one that a running order was about to replace. */
  readonly isWayBack?: boolean;
  readonly ageMs: number;
  readonly step: RolloutStep;
  /** Time at this step, in milliseconds. */
  readonly stepMs: number;
  /** Requests of this entry at targets of the old version. */
  readonly oldOpen: number;
  /** Whether the rows of the others have been heard without a break. */
  readonly knowsOthers: boolean;
  /** Newest rows of the other live entries. */
  readonly others: readonly EvidenceRow[];
}

/**
 * Returns the state to be written; undefined if the status needs no write. A
 * state that ends the order is never replaced.
 *
 * @example
 * const state = decideStatus(known);
 */
export function decideStatus(query: StatusQuery): RolloutState | undefined {
  const {record, isBad} = query;
  const present = currentState(record);
  if (isOver(present)) return undefined;
  if (isBad) return RolloutState.ROLLED_BACK;
  if (isReached(query)) return RolloutState.COMPLETED;
  return present === undefined ? RolloutState.IN_PROGRESS : undefined;
}

/**
 * Returns the state of an order; undefined if none was written for it.
 *
 * @example
 * currentState(record) === RolloutState.COMPLETED;
 */
export function currentState({
  status,
  target,
}: RolloutRecord): RolloutState | undefined {
  return status?.target === target ? status.state : undefined;
}

/** Whether a state ends its order. */
export function isOver(state: RolloutState | undefined): state is RolloutEnd {
  return state === RolloutState.COMPLETED || state === RolloutState.ROLLED_BACK;
}

/**
 * Returns how many of the live entries come before this one in the order in
 * which they write a status; it differs from roll-out to roll-out. The next one
 * writes if the first does not. Two that write at once do no harm, as the store
 * takes only the first write after a revision.
 *
 * @example
 * writerRank({order: record.id, vm, live: ['edge-2', 'edge-3']}); // 0
 */
export function writerRank(options: {
  order: string;
  vm: string;
  /** VMs of the other live entries. */
  live: readonly string[];
}): number {
  const {order, vm, live} = options;
  const scoreOf = (name: string) =>
    createHash('sha1').update(`${order}\n${name}`).digest('hex');
  const own = scoreOf(vm);
  return live.filter((other) => other !== vm && scoreOf(other) < own).length;
}

/** Whether the targets of other versions may stop. */
function isReached(query: StatusQuery): boolean {
  if (!query.isInUse) return isComplete(query);
  if (query.isWayBack !== true) return true;
  const hasTurned = ({isWayBack, step}: EvidenceRow) =>
    isWayBack === true || step === RolloutStep.FULL;
  return (isLate(query) || query.others.every(hasTurned)) && isDrained(query);
}

/** Entries that are not heard may still send to old targets. */
function isComplete(query: StatusQuery): boolean {
  const {step, stepMs, others} = query;
  const isFull =
    step === RolloutStep.FULL &&
    stepMs >= MIN_FULL_MS &&
    others.every((row) => row.step === RolloutStep.FULL);
  return isFull && isDrained(query);
}

/**
 * The old targets stop at once, so no request may be at one as far as is known.
 * Shortly before the end of the time budget it no longer waits for requests in
 * progress.
 */
function isDrained(query: StatusQuery): boolean {
  const {oldOpen, others} = query;
  if (!query.knowsOthers) return false;
  const rows = [{oldOpen}, ...others];
  return isLate(query) || rows.every((row) => row.oldOpen === 0);
}

function isLate({record, ageMs}: StatusQuery): boolean {
  return ageMs >= record.durationMs * COMPLETE_WITHOUT_WAIT_FROM;
}
