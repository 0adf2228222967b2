/** Plays loads at the room of one entry, and checks what callers get. */
import {describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom} from '../../src/core/clock/index.js';
import {RefusalReason} from '../../src/core/errors/refusals.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {Supervisor} from '../../src/core/supervision/index.js';
import type {Applicant} from '../../src/direct/room/index.js';
import {ServiceRoom} from '../../src/direct/room/index.js';

const TICK_MS = 10;
const FIRST_EVENT_MS = 1_000;
const RUN_MS = 8_000;
const DEADLINE_MS = 25_000;

/** Share of the places that the urgent kind alone may take. */
const SPARE_SHARE = 1 / 8;

/** Microtasks that a look for room takes at most for each placed one. */
const MICROTASKS = 8;

enum Outcome {
  ON_TIME = 'on time',
  LATE = 'late',
  /** Sent to an engine without room. */
  SENT_ANYWAY = 'sent anyway',
  REFUSED = 'refused',
}

/** A kind of request, in the order of arrival. */
interface Kind {
  readonly priority: number;
  readonly objectiveMs: number;
  readonly everyMs: number;
  readonly clientAccount: string;
  /** `RUN_MS` by default. */
  readonly runMs?: number;
}

/** A refusal, as its caller sees it. */
interface Refused {
  readonly kind: Kind;
  readonly reason: RefusalReason;
  /** Time that is left to the caller when it returns; 0 if it can't. */
  readonly leftMs: number;
}

/** Engines' places, shared by all generations of a play. */
class Play {
  readonly clock = new ManualClock();
  readonly room: ServiceRoom;
  readonly outcomes = new Map<Kind, Outcome[]>();
  /** Priority of the generations in the order in which they got room. */
  readonly placed: number[] = [];
  /** How long those waited that were sent without room. */
  readonly waitedMs: number[] = [];
  readonly refused: Refused[] = [];
  private used = 0;

  constructor(readonly places: number) {
    const {clock} = this;
    const metrics = new Metrics();
    const logger = SILENT_LOGGER;
    const random = new SeededRandom(1);
    const supervisor = new Supervisor({clock, metrics, logger});
    this.room = new ServiceRoom({clock, random, metrics, supervisor});
  }

  async run(kinds: readonly Kind[], forMs: number): Promise<void> {
    const nextMs = new Map(kinds.map((kind) => [kind, 0]));
    for (let nowMs = 0; nowMs < forMs + DEADLINE_MS; nowMs += TICK_MS) {
      this.clock.advance(TICK_MS);
      for (const kind of kinds) {
        if (nowMs >= forMs || nowMs < nextMs.get(kind)!) continue;
        nextMs.set(kind, nextMs.get(kind)! + kind.everyMs);
        void this.arrive(kind);
      }
      for (let i = 0; i < MICROTASKS; i++) await Promise.resolve();
    }
  }

  share(kind: Kind, outcome: Outcome): number {
    const all = this.outcomes.get(kind)!;
    return all.filter((o) => o === outcome).length / all.length;
  }

  /** Share of a kind that got room, on time or late. */
  servedShare(kind: Kind): number {
    return this.share(kind, Outcome.ON_TIME) + this.share(kind, Outcome.LATE);
  }

  arrive(kind: Kind): Promise<void> {
    const receivedMs = this.clock.now();
    const objectiveAtMs = receivedMs + kind.objectiveMs;
    const applicant: Applicant = {
      priority: kind.priority,
      clientAccount: kind.clientAccount,
      receivedMs,
      objectiveAtMs,
      deadlineAtMs: receivedMs + DEADLINE_MS,
      firstEventMs: FIRST_EVENT_MS,
      shortestMs: kind.runMs ?? RUN_MS,
      tryPlace: () => Promise.resolve(this.tryPlace(kind, objectiveAtMs)),
      placeAnyway: () => {
        this.waitedMs.push(this.clock.now() - receivedMs);
        this.record(kind, Outcome.SENT_ANYWAY);
      },
      refuse: (reason, retryAfterMs) => {
        this.record(kind, Outcome.REFUSED);
        const returnsAtMs = this.clock.now() + (retryAfterMs ?? DEADLINE_MS);
        const leftMs = Math.max(0, receivedMs + DEADLINE_MS - returnsAtMs);
        this.refused.push({kind, reason, leftMs});
      },
      onWaitOver: () => undefined,
    };
    return this.room.enter(applicant);
  }

  private tryPlace(kind: Kind, objectiveAtMs: number): boolean {
    const spare = kind.priority === 0 ? 0 : this.places * SPARE_SHARE;
    if (this.used >= this.places - spare) return false;
    this.used++;
    this.placed.push(kind.priority);
    this.room.recordStart(kind.clientAccount);
    const isOnTime = this.clock.now() + FIRST_EVENT_MS <= objectiveAtMs;
    this.record(kind, isOnTime ? Outcome.ON_TIME : Outcome.LATE);
    this.clock.schedule({
      delayMs: kind.runMs ?? RUN_MS,
      run: () => {
        this.used--;
        this.room.recordEnd(kind.clientAccount);
      },
    });
    return true;
  }

  private record(kind: Kind, outcome: Outcome): void {
    const outcomes = this.outcomes.get(kind) ?? [];
    outcomes.push(outcome);
    this.outcomes.set(kind, outcomes);
  }
}

const URGENT: Kind = {
  priority: 0,
  objectiveMs: 4_000,
  everyMs: 1_000,
  clientAccount: 'a',
};

const USUAL: Kind = {
  priority: 2,
  objectiveMs: 10_000,
  everyMs: 125,
  clientAccount: 'b',
};

/** 2.4 times the usual load. */
const BURST: Kind = {...USUAL, everyMs: 52};

describe('ServiceRoom', () => {
  it('places everything at once while there is room', async () => {
    const play = new Play(100);
    await play.run([URGENT, USUAL], 20_000);
    expect(play.share(URGENT, Outcome.ON_TIME)).toBe(1);
    expect(play.share(USUAL, Outcome.ON_TIME)).toBe(1);
  });

  it('keeps urgent ones on time in a burst with a third of the engines gone', async () => {
    const play = new Play(66);
    await play.run([URGENT, BURST], 20_000);
    expect(play.share(URGENT, Outcome.ON_TIME)).toBe(1);
    const onTime = play.share(BURST, Outcome.ON_TIME);
    expect(onTime).toBeGreaterThan(0.3);
    // Nobody is held until nothing but a refusal is left.
    expect(play.share(BURST, Outcome.REFUSED)).toBe(0);
    expect(play.share(BURST, Outcome.LATE)).toBe(0);
  });

  it('gives the next room to the most urgent one that waits', async () => {
    const play = new Play(1);
    const second = {...USUAL, everyMs: 30_000};
    await play.run([second, {...URGENT, everyMs: 30_000}, second], 1_000);
    expect(play.placed[0]).toBe(2);
    const usual = {...second, objectiveMs: 24_000};
    const other = new Play(1);
    await other.run(
      [usual, {...usual}, {...URGENT, objectiveMs: 24_000, everyMs: 30_000}],
      1_000,
    );
    expect(other.placed).toEqual([2, 0, 2]);
  });

  it('gives two accounts their share, whatever one of them sends', async () => {
    const play = new Play(40);
    const flood = {...USUAL, everyMs: 30};
    const modest = {...USUAL, everyMs: 500, clientAccount: 'c'};
    await play.run([flood, modest], 20_000);
    expect(play.share(modest, Outcome.ON_TIME)).toBe(1);
    expect(play.share(flood, Outcome.ON_TIME)).toBeGreaterThan(0.1);
  });
});

/** More than three times what the places bear, from callers who can wait. */
const CROWD: Kind = {...USUAL, objectiveMs: 24_000, everyMs: 125};

/** No more than the spare places bear. */
const SELDOM: Kind = {...URGENT, everyMs: 4_000};

describe('a queue that grows faster than room is freed', () => {
  const PLACES = 20;
  const FOR_MS = 30_000;

  it('turns callers away while they can still be served elsewhere', async () => {
    const play = new Play(PLACES);
    await play.run([SELDOM, CROWD], FOR_MS);
    expect(play.share(SELDOM, Outcome.ON_TIME)).toBe(1);
    const returning = play.refused.filter(({leftMs}) => leftMs > RUN_MS);
    expect(play.refused.length).toBeGreaterThan(50);
    expect(returning.length / play.refused.length).toBeGreaterThan(0.95);
  });

  it('uses all places nevertheless', async () => {
    const play = new Play(PLACES);
    await play.run([CROWD], FOR_MS);
    const places = PLACES * (1 - SPARE_SHARE);
    const possible = (places * (FOR_MS + DEADLINE_MS - RUN_MS)) / RUN_MS;
    expect(play.placed.length).toBeGreaterThan(0.8 * possible);
  });

  it('serves large ones at least half as often as all', async () => {
    const play = new Play(PLACES);
    const small = {...CROWD, everyMs: 200, runMs: 6_000};
    const large = {...CROWD, everyMs: 600, runMs: 12_000};
    await play.run([small, large], FOR_MS);
    const [s, l] = [play.servedShare(small), play.servedShare(large)];
    expect(l).toBeGreaterThan((0.5 * (3 * s + l)) / 4);
  });

  it('serves an account beside the flood of another', async () => {
    const play = new Play(PLACES);
    const modest = {...CROWD, everyMs: 2_000, clientAccount: 'c'};
    await play.run([CROWD, modest], FOR_MS);
    expect(play.servedShare(modest)).toBe(1);
  });
});

describe('a full queue', () => {
  const MAX_WAITING = 512;

  it.each([
    {name: 'a more urgent one displaces another', comes: URGENT, goes: CROWD},
    {name: 'a less urgent one is refused', comes: CROWD, goes: CROWD},
  ])('$name', async ({comes, goes}) => {
    const play = new Play(0);
    const newest = {...comes, clientAccount: 'd'};
    for (let i = 0; i < MAX_WAITING; i++) await play.arrive(goes);
    await play.arrive(newest);
    expect(play.room.waiting).toBe(MAX_WAITING);
    expect(play.refused).toHaveLength(1);
    const {kind, reason, leftMs} = play.refused[0]!;
    expect(kind.priority).toBe(goes.priority);
    expect(reason).toBe(RefusalReason.OVERLOADED);
    expect(leftMs).toBeGreaterThan(RUN_MS);
    expect(play.outcomes.get(newest) ?? []).not.toContain(Outcome.SENT_ANYWAY);
  });
});

// Guards against a look that arrivals put off again and again (held to the end).
it('looks for room also while generations come all the time', async () => {
  const play = new Play(0);
  const often = {...USUAL, objectiveMs: 2_000, everyMs: 80};
  await play.run([often], 6_000);
  expect(play.share(often, Outcome.SENT_ANYWAY)).toBe(1);
  expect(Math.max(...play.waitedMs)).toBeLessThan(often.objectiveMs);
});
