/** Judges whether a version is bad. */
import {binomialTail} from './binomial-tail.js';
import {
  LEFT_OUT_LOST_SHARE,
  LEFT_OUT_SHARE,
  MAX_CHANCE,
  MAX_LOST_CHANCE,
  MIN_BAD,
  MIN_BAD_FEW_TARGETS,
  MIN_BAD_TO_LEAVE_OUT,
  MIN_LOST,
  MIN_OLD_ANSWERS,
  MIN_TARGETS_TO_LEAVE_OUT,
  SHARE_FACTOR,
  SHARE_MARGIN,
  SLOW_SHARE_MARGIN,
} from './consts.js';
import type {EvidenceCell} from './types.js';
import {BadReason} from './types.js';

/** One way in which a version can be bad. */
interface Signal {
  readonly reason: BadReason;
  readonly all: (cell: EvidenceCell) => number;
  readonly bad: (cell: EvidenceCell) => number;
  readonly margin: number;
  readonly minBad: number;
  readonly maxChance: number;
  readonly leftOutShare: number;
}

const SIGNALS: readonly Signal[] = [
  {
    reason: BadReason.FAILURES,
    all: ({answers}) => answers,
    bad: ({failures}) => failures,
    margin: SHARE_MARGIN,
    minBad: MIN_BAD,
    maxChance: MAX_CHANCE,
    leftOutShare: LEFT_OUT_SHARE,
  },
  {
    reason: BadReason.SLOW,
    all: ({timed}) => timed,
    bad: ({slow}) => slow,
    margin: SLOW_SHARE_MARGIN,
    minBad: MIN_BAD,
    maxChance: MAX_CHANCE,
    leftOutShare: LEFT_OUT_SHARE,
  },
  {
    reason: BadReason.LOST,
    all: ({answers, lost}) => answers + lost,
    bad: ({lost}) => lost,
    margin: SHARE_MARGIN,
    minBad: MIN_LOST,
    maxChance: MAX_LOST_CHANCE,
    leftOutShare: LEFT_OUT_LOST_SHARE,
  },
];

interface Counts {
  readonly all: number;
  readonly bad: number;
}

/** The evidence on which a version is judged. */
export interface JudgeQuery {
  /** All that was counted since the order. */
  readonly sinceOrder: readonly EvidenceCell[];
  /** What was counted in the last seconds, for several lengths. */
  readonly windows: ReadonlyArray<readonly EvidenceCell[]>;
}

/**
 * Compares the new version with the old one at the same time: over all requests,
 * route by route and in each data centre. What only the worst of the new targets
 * show is theirs and not the version's, such as a crash, a failing machine or a
 * key that overloads one target.
 *
 * @example
 * const reason = judgeVersion({sinceOrder: cells, windows: [recent]});
 */
export function judgeVersion(query: JudgeQuery): BadReason | undefined {
  const {sinceOrder, windows} = query;
  for (const window of [sinceOrder, ...windows]) {
    for (const isIn of groupsOf(window)) {
      const cells = window.filter(isIn);
      const earlier = sinceOrder.filter(isIn);
      const signal = SIGNALS.find((s) =>
        isWorse(s, cells, {earlier, sinceOrder}),
      );
      if (signal !== undefined) return signal.reason;
    }
  }
  return undefined;
}

type CellFilter = (cell: EvidenceCell) => boolean;

function groupsOf(cells: readonly EvidenceCell[]): CellFilter[] {
  const ofNew = cells.filter(({isNew}) => isNew);
  const routes = new Set(ofNew.map(({route}) => route));
  const dataCentres = new Set(ofNew.map(({dataCentre}) => dataCentre));
  return [
    () => true,
    ...[...routes].map((name) => (cell: EvidenceCell) => cell.route === name),
    ...[...dataCentres].map(
      (name) => (cell: EvidenceCell) => cell.dataCentre === name,
    ),
  ];
}

interface ComparedWith {
  /** The same group since the order. */
  readonly earlier: readonly EvidenceCell[];
  /** All groups since the order. */
  readonly sinceOrder: readonly EvidenceCell[];
}

function isWorse(
  signal: Signal,
  cells: readonly EvidenceCell[],
  {earlier, sinceOrder}: ComparedWith,
): boolean {
  const targets = countTargets(signal, cells);
  const share = oldShare(signal, cells, earlier);
  const allowed = Math.min(0.95, share * SHARE_FACTOR + signal.margin);
  const hasFew =
    countTargets(signal, sinceOrder).length < MIN_TARGETS_TO_LEAVE_OUT;
  const rest = hasFew ? targets : leaveOutWorst(signal, targets, allowed);
  const all = rest.reduce((sum, counts) => sum + counts.all, 0);
  const bad = rest.reduce((sum, counts) => sum + counts.bad, 0);
  const minBad = hasFew
    ? Math.max(signal.minBad, MIN_BAD_FEW_TARGETS)
    : signal.minBad;
  if (bad < minBad) return false;
  const chance = binomialTail({answers: all, bad, share: allowed});
  return chance < signal.maxChance;
}

function countTargets(
  signal: Signal,
  cells: readonly EvidenceCell[],
): Counts[] {
  const byTarget = new Map<string, Counts>();
  for (const cell of cells) {
    if (!cell.isNew || signal.all(cell) === 0) continue;
    const {all, bad} = byTarget.get(cell.target) ?? {all: 0, bad: 0};
    const counts = {all: all + signal.all(cell), bad: bad + signal.bad(cell)};
    byTarget.set(cell.target, counts);
  }
  return [...byTarget.values()];
}

/** Leaves out the targets with the most bad answers beyond the allowed ones. */
function leaveOutWorst(
  {leftOutShare}: Signal,
  targets: readonly Counts[],
  allowed: number,
): Counts[] {
  const excess = ({all, bad}: Counts) => bad - all * allowed;
  const count = Math.ceil(targets.length * leftOutShare);
  const sorted = [...targets].sort((a, b) => excess(b) - excess(a));
  return sorted.filter(
    ({bad}, i) => i >= count || (i > 0 && bad < MIN_BAD_TO_LEAVE_OUT),
  );
}

/** Share of bad answers of the old version, at the same time if it has some. */
function oldShare(
  signal: Signal,
  cells: readonly EvidenceCell[],
  earlier: readonly EvidenceCell[],
): number {
  const now = countOld(signal, cells);
  const counts = now.all >= MIN_OLD_ANSWERS ? now : countOld(signal, earlier);
  return counts.all < MIN_OLD_ANSWERS ? 0 : counts.bad / counts.all;
}

function countOld(signal: Signal, cells: readonly EvidenceCell[]): Counts {
  let all = 0;
  let bad = 0;
  for (const cell of cells) {
    if (cell.isNew) continue;
    all += signal.all(cell);
    bad += signal.bad(cell);
  }
  return {all, bad};
}
