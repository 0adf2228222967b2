/** Plays a roll-out at several entries without a network. */
import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import type {
  EvidenceRow,
  RolloutRecord,
  RolloutState,
} from '../../src/core/rollouts/index.js';
import {
  openTargets,
  RolloutController,
  SlowTimes,
} from '../../src/core/rollouts/index.js';

const TICK_MS = 50;
const WRITE_MS = 500;
const DELIVERY_MS = 600;
const UPDATE_MS = 250;

export const SETTINGS = {
  exposureShare: 0.1,
  exposureSlack: 50,
  rollbackMs: 5_000,
};

/** What becomes of one request. */
export interface Outcome {
  readonly isFailure?: boolean;
  readonly isLost?: boolean;
  readonly ms: number;
}

/** What a request meets. */
export interface Meeting {
  readonly entry: number;
  readonly isNew: boolean;
  /** Index of the target within its version. */
  readonly target: number;
  readonly dataCentre: string;
  readonly route: string;
  readonly nowMs: number;
  /** Requests a second at this target lately. */
  readonly load: number;
  readonly random: SeededRandom;
}

/** A play. */
export interface FleetOptions {
  readonly entries?: number;
  readonly targets?: number;
  readonly durationMs?: number;
  /** Requests a second of all entries. */
  readonly perSecond?: number;
  readonly seed?: number;
  readonly outcome?: (meeting: Meeting) => Outcome;
  /** Whether the store is away for an entry. */
  readonly isCut?: (entry: number, nowMs: number) => boolean;
  /** Whether an entry is killed and restarted at this time. */
  readonly restarts?: (entry: number, nowMs: number) => boolean;
  /** Whether an entry does nothing at all. */
  readonly isPaused?: (entry: number, nowMs: number) => boolean;
}

const ROUTES = ['/a/', '/b/', '/c/'];

/** Entries that share evidence through a store that delivers late. */
export class Fleet {
  readonly clock = new ManualClock();
  readonly sentToNew: Array<{atMs: number; entry: number}> = [];
  readonly badAtMs: number[] = [];
  total = 0;
  readonly states: Array<{state: RolloutState; atMs: number}> = [];
  record: RolloutRecord;
  readonly controllers: RolloutController[] = [];
  private readonly times: SlowTimes[] = [];
  private readonly rows = new Map<string, {row: EvidenceRow; atMs: number}>();
  private readonly random: SeededRandom;
  private readonly arrivals = new Map<string, number[]>();
  private readonly durationMs: number;
  private readonly vms: readonly string[];

  constructor(private readonly options: FleetOptions = {}) {
    const {entries = 4, durationMs = 30_000, seed = 1} = options;
    this.durationMs = durationMs;
    this.vms = Array.from({length: entries}, (_, i) => `edge-${i}`);
    this.random = new SeededRandom(seed);
    this.record = {
      id: 'o1',
      service: 'desk',
      target: 'v2',
      durationMs,
      revision: 1,
    };
    for (let i = 0; i < entries; i++) this.startEntry(i);
  }

  private startEntry(i: number): void {
    this.controllers[i] = new RolloutController({
      record: this.record,
      vm: `edge-${i}`,
      settings: SETTINGS,
      entries: () => this.vms,
      clock: this.clock,
    });
    this.times[i] = new SlowTimes({factor: 2.5});
  }

  /** Plays the order to the end of its time budget and a little longer. */
  play(): this {
    const {perSecond = 200, isCut, isPaused, restarts} = this.options;
    for (let t = 0; t <= this.durationMs * 1.05; t += TICK_MS) {
      this.clock.advance(TICK_MS);
      const now = this.clock.now();
      let due = (perSecond * TICK_MS) / 1_000;
      for (; due >= 1 || this.random.float() < due; due--) this.request(now);
      for (const [i, controller] of this.controllers.entries()) {
        if (restarts?.(i, now) === true) this.startEntry(i);
        if (isPaused?.(i, now) === true) continue;
        const isAway = isCut?.(i, now) === true;
        if (!isAway && now % WRITE_MS === (i * TICK_MS) % WRITE_MS)
          this.exchange(controller, i, now);
        if (now % UPDATE_MS === 0) {
          controller.update({newTargets: this.options.targets ?? 10});
          if (!isAway) this.writeStatus(controller, now);
        }
      }
    }
    return this;
  }

  /** Time of the first request to the new version after a time. */
  lastSentMs(): number {
    return this.sentToNew.at(-1)?.atMs ?? 0;
  }

  get state(): RolloutState | undefined {
    return this.states.at(-1)?.state;
  }

  private exchange(c: RolloutController, i: number, now: number): void {
    if (!c.isOver) this.rows.set(`edge-${i}`, {row: c.row(0), atMs: now});
    c.updateRecord(this.record);
    c.recordRead(now);
    for (const {row, atMs} of this.rows.values())
      if (atMs <= now - DELIVERY_MS + WRITE_MS) c.hear(row);
  }

  private writeStatus(c: RolloutController, now: number): void {
    const state = c.stateToWrite(0);
    if (state === undefined) return;
    // The store takes a write only for the revision that the writer has read.
    if (c.record.revision !== this.record.revision) return;
    const status = {state, target: this.record.target};
    const revision = this.record.revision + 1;
    this.record = {...this.record, status, revision};
    this.states.push({state, atMs: now});
    c.updateRecord(this.record);
  }

  private request(nowMs: number): void {
    const {random} = this;
    const {isPaused, targets = 10} = this.options;
    const outcome: (met: Meeting) => Outcome =
      this.options.outcome ?? (() => ({ms: 20}));
    const entry = random.below(this.controllers.length);
    if (isPaused?.(entry, nowMs) === true) return;
    const c = this.controllers[entry]!;
    const allowed = c.allowed();
    const isNew = allowed.new;
    const open = isNew
      ? openTargets({step: c.step, share: c.share, targets})
      : targets;
    const target = random.below(open);
    const route = ROUTES[random.below(ROUTES.length)]!;
    const dataCentre = target % 2 === 0 ? 'a' : 'b';
    const load = this.loadOf(`${isNew}${target}`, nowMs);
    this.total++;
    if (isNew) {
      c.budget.recordSentToNew();
      this.sentToNew.push({atMs: nowMs, entry});
    }
    c.budget.recordReached();
    const met = {entry, isNew, target, dataCentre, route, nowMs, load, random};
    const result = outcome(met);
    if (!isNew) this.times[entry]!.record(route, result.ms);
    const isSlow = this.times[entry]!.isSlow(route, result.ms);
    const isLost = result.isLost === true;
    if (isNew && (result.isFailure === true || result.ms > 60))
      this.badAtMs.push(nowMs);
    c.evidence.add(
      {isNew, route, dataCentre, target: `i-${target}`},
      {
        answers: isLost ? 0 : 1,
        failures: result.isFailure === true ? 1 : 0,
        lost: isLost ? 1 : 0,
        timed: isSlow === undefined || isLost ? 0 : 1,
        slow: isSlow === true && !isLost ? 1 : 0,
      },
    );
  }

  private loadOf(target: string, nowMs: number): number {
    const times = this.arrivals.get(target) ?? [];
    times.push(nowMs);
    this.arrivals.set(
      target,
      times.filter((t) => t > nowMs - 2_000),
    );
    return this.arrivals.get(target)!.length / 2;
  }
}
