/** Counts outcomes of requests by version, route, data centre and target. */
import {MAX_ROUTES, MAX_TARGETS, OTHER} from './consts.js';
import type {EvidenceCell} from './types.js';

/** Where an outcome is counted. */
export interface CellPlace {
  readonly isNew: boolean;
  readonly route: string;
  readonly dataCentre: string;
  /** Id of the target. */
  readonly target: string;
}

/** Counts of one outcome. */
export type CellCounts = Pick<
  EvidenceCell,
  'answers' | 'failures' | 'lost' | 'timed' | 'slow'
>;

type MutableCell = {-readonly [K in keyof EvidenceCell]: EvidenceCell[K]};

/**
 * The outcomes of one entry since it has known an order. Routes and targets
 * beyond a limit are summed.
 *
 * @example
 * const evidence = new Evidence();
 * evidence.add(place, {answers: 1, failures: 0, lost: 0, timed: 1, slow: 0});
 */
export class Evidence {
  private readonly cells = new Map<string, MutableCell>();
  private readonly routes = new Set<string>();
  private readonly targets = new Set<string>();

  add(place: CellPlace, counts: CellCounts): void {
    const {isNew, dataCentre} = place;
    const route = bounded(this.routes, place.route, MAX_ROUTES);
    const target = isNew
      ? bounded(this.targets, place.target, MAX_TARGETS)
      : '';
    addTo(this.cells, {isNew, route, dataCentre, target, ...counts});
  }

  list(): EvidenceCell[] {
    return [...this.cells.values()].map((cell) => ({...cell}));
  }
}

/**
 * Sums the cells of several entries.
 *
 * @example
 * const cells = mergeCells([own.list(), ...rows.map((row) => row.cells)]);
 */
export function mergeCells(
  lists: ReadonlyArray<readonly EvidenceCell[]>,
): EvidenceCell[] {
  const merged = new Map<string, MutableCell>();
  for (const cells of lists) for (const cell of cells) addTo(merged, cell);
  return [...merged.values()];
}

/**
 * Returns what was counted between two snapshots. An entry that was restarted
 * counts anew, which is no negative number of answers.
 *
 * @example
 * const recent = subtractCells(now, before);
 */
export function subtractCells(
  after: readonly EvidenceCell[],
  before: readonly EvidenceCell[],
): EvidenceCell[] {
  const known = new Map(before.map((cell) => [keyOf(cell), cell]));
  return after.map((cell) => {
    const earlier = known.get(keyOf(cell));
    if (earlier === undefined) return cell;
    const left = (name: keyof CellCounts) =>
      Math.max(0, cell[name] - earlier[name]);
    return {
      ...cell,
      answers: left('answers'),
      failures: left('failures'),
      lost: left('lost'),
      timed: left('timed'),
      slow: left('slow'),
    };
  });
}

function addTo(cells: Map<string, MutableCell>, cell: EvidenceCell): void {
  const key = keyOf(cell);
  const known = cells.get(key);
  if (known === undefined) {
    cells.set(key, {...cell});
    return;
  }
  known.answers += cell.answers;
  known.failures += cell.failures;
  known.lost += cell.lost;
  known.timed += cell.timed;
  known.slow += cell.slow;
}

function keyOf({isNew, route, dataCentre, target}: EvidenceCell): string {
  return `${isNew}\n${route}\n${dataCentre}\n${target}`;
}

function bounded(names: Set<string>, name: string, limit: number): string {
  if (names.has(name)) return name;
  if (names.size >= limit) return OTHER;
  names.add(name);
  return name;
}
