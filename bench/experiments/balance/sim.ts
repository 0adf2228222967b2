/** Simulates targets and entries on a manual clock. */
import type {RandomSource} from '../../../src/core/clock/index.js';
import {ManualClock, SeededRandom} from '../../../src/core/clock/index.js';
import type {
  TargetChooser,
  TargetView,
} from '../../../src/core/routing/index.js';
import {CountHistory} from '../../../src/core/routing/index.js';
import type {ReportedLoad} from '../../../src/core/targets/index.js';
import {sampleExponential} from '../../lib/arrivals.js';
import {Samples} from '../../lib/samples.js';

const SAMPLE_PERIOD_MS = 50;
const REPORT_RETENTION_MS = 2_000;

/** Age of the load reports used by the simulated entries. */
const REPORT_LAG_MS = 500;

/** Times in which a simulated target is slower than usual. */
export interface SlowTimes {
  /** Share of the time in which a target is slow. */
  readonly share: number;
  /** Factor by which work takes longer then. */
  readonly factor: number;
  /** Mean length of a slow time, in milliseconds. */
  readonly meanMs: number;
}

/** Chooses targets and is told what it sends and what responses report. */
export interface ObservingChooser extends TargetChooser {
  recordSent?(targetIndex: number): void;
  recordResponse?(targetIndex: number, load: ReportedLoad): void;
}

/** Size and load of the simulated site. */
export interface SimOptions {
  readonly targets: number;
  /** Slots per target. */
  readonly capacity: number;
  readonly entries: number;
  /** Ratio of offered load to capacity. */
  readonly load: number;
  readonly meanServiceMs: number;
  readonly durationMs: number;
  readonly random: RandomSource;
  readonly createChooser: (clock: ManualClock) => ObservingChooser;
  /** None by default. */
  readonly slowTimes?: SlowTimes;
}

interface SimTarget {
  /** Factor by which work takes longer now. */
  slowness: number;
  running: number;
  readonly queue: Array<() => void>;
  /** Running and queued requests over time, from which reports are taken. */
  readonly countHistory: CountHistory;
}

/** Assigns arriving requests with choosers and samples the target queues. */
export class BalanceSim {
  /** Requests waiting at a target while another has a free slot. */
  readonly avoidableWaits = new Samples({
    name: 'waiting beside a free slot',
    unit: 'requests',
  });
  readonly waits = new Samples({name: 'wait at the target', unit: 'ms'});
  readonly responseTimes = new Samples({name: 'response time', unit: 'ms'});
  private readonly clock = new ManualClock();
  private readonly targets: SimTarget[];
  private readonly inFlightHistory: CountHistory[][];
  private readonly inFlight: number[][];
  private readonly choosers: ObservingChooser[];

  constructor(private readonly options: SimOptions) {
    const {targets, entries, createChooser} = options;
    const createArray = <T>(n: number, create: () => T): T[] =>
      Array.from({length: n}, create);
    this.targets = createArray(targets, () => ({
      slowness: 1,
      running: 0,
      queue: [],
      countHistory: new CountHistory({retentionMs: REPORT_RETENTION_MS}),
    }));
    this.inFlightHistory = createArray(entries, () =>
      createArray(
        targets,
        () => new CountHistory({retentionMs: REPORT_RETENTION_MS}),
      ),
    );
    this.inFlight = createArray(entries, () => createArray(targets, () => 0));
    this.choosers = createArray(entries, () => createChooser(this.clock));
  }

  run(): void {
    this.scheduleArrival();
    // Of their own seeds, so that they are the same for each chooser.
    this.targets.forEach((target, index) =>
      this.scheduleSlowTime(target, new SeededRandom(index)),
    );
    this.clock.repeat({periodMs: SAMPLE_PERIOD_MS, run: () => this.sample()});
    this.clock.advance(this.options.durationMs);
  }

  private scheduleSlowTime(target: SimTarget, random: RandomSource): void {
    const {slowTimes} = this.options;
    if (slowTimes === undefined) return;
    const {share, factor, meanMs} = slowTimes;
    const meanGapMs = (meanMs * (1 - share)) / share;
    const end = (): void => {
      target.slowness = 1;
      this.scheduleSlowTime(target, random);
    };
    const start = (): void => {
      target.slowness = factor;
      const delayMs = sampleExponential(meanMs, random);
      this.clock.schedule({delayMs, run: end});
    };
    const delayMs = sampleExponential(meanGapMs, random);
    this.clock.schedule({delayMs, run: start});
  }

  private scheduleArrival(): void {
    const {targets, capacity, load, meanServiceMs, random} = this.options;
    const arrivalsPerMs = (targets * capacity * load) / meanServiceMs;
    const run = (): void => {
      this.arrive(random.below(this.options.entries));
      this.scheduleArrival();
    };
    this.clock.schedule({
      delayMs: sampleExponential(1 / arrivalsPerMs, random),
      run,
    });
  }

  private arrive(entry: number): void {
    const views = this.targets.map((_, i) => this.createView(entry, i));
    const query = {service: 's', exclude: [], dataCentre: '', prefix: ''};
    const chosen = this.choosers[entry]!.choose({query, targets: views});
    const targetIndex = Number(chosen.extract()!.vm);
    this.updateInFlight(entry, targetIndex, 1);
    this.choosers[entry]!.recordSent?.(targetIndex);
    const arrivedMs = this.clock.now();
    const start = (): void => this.start({entry, targetIndex, arrivedMs});
    const target = this.targets[targetIndex]!;
    if (target.running < this.options.capacity) start();
    else target.queue.push(start);
    this.recordCount(target);
  }

  private start(options: {
    entry: number;
    targetIndex: number;
    arrivedMs: number;
  }): void {
    const {entry, targetIndex, arrivedMs} = options;
    const {meanServiceMs, random} = this.options;
    const target = this.targets[targetIndex]!;
    target.running++;
    this.waits.add(this.clock.now() - arrivedMs);
    const run = (): void => {
      target.running--;
      this.updateInFlight(entry, targetIndex, -1);
      target.queue.shift()?.();
      this.recordCount(target);
      this.respond({entry, targetIndex, arrivedMs});
    };
    this.clock.schedule({
      delayMs: sampleExponential(meanServiceMs, random) * target.slowness,
      run,
    });
  }

  private respond(options: {
    entry: number;
    targetIndex: number;
    arrivedMs: number;
  }): void {
    const {entry, targetIndex, arrivedMs} = options;
    const {running, queue, slowness} = this.targets[targetIndex]!;
    this.responseTimes.add(this.clock.now() - arrivedMs);
    this.choosers[entry]!.recordResponse?.(targetIndex, {
      running,
      waiting: queue.length,
      slots: this.options.capacity,
      slowness,
    });
  }

  private updateInFlight(
    entry: number,
    targetIndex: number,
    delta: number,
  ): void {
    const counts = this.inFlight[entry]!;
    counts[targetIndex]! += delta;
    this.inFlightHistory[entry]![targetIndex]!.record({
      nowMs: this.clock.now(),
      count: counts[targetIndex]!,
    });
  }

  private recordCount(target: SimTarget): void {
    const count = target.running + target.queue.length;
    target.countHistory.record({nowMs: this.clock.now(), count});
  }

  private createView(entry: number, targetIndex: number): TargetView {
    const {capacity} = this.options;
    const atMs = this.clock.now() - REPORT_LAG_MS;
    const reported = this.targets[targetIndex]!.countHistory.countAt(atMs);
    return {
      vm: String(targetIndex),
      dataCentre: '',
      service: 's',
      incarnation: '',
      usable: true,
      draining: false,
      ownInFlight: this.inFlight[entry]![targetIndex]!,
      running: Math.min(reported, capacity),
      waiting: Math.max(0, reported - capacity),
      capacity,
      cachedPrefixes: [],
      ownInReport: this.inFlightHistory[entry]![targetIndex]!.countAt(atMs),
    };
  }

  private sample(): void {
    const {capacity} = this.options;
    const free = this.targets.reduce(
      (sum, {running}) => sum + capacity - running,
      0,
    );
    const waiting = this.targets.reduce((sum, t) => sum + t.queue.length, 0);
    this.avoidableWaits.add(Math.min(free, waiting));
  }
}
