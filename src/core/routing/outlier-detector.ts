/** Outlier detection: ejects targets at which most requests fail. */
import type {Clock} from '../clock/index.js';
import {
  BASE_EJECTION_MS,
  FAILURE_SHARE_THRESHOLD,
  FAILURE_WINDOW_MS,
  MAX_EJECTED_SHARE,
  MAX_EJECTION_MS,
  MIN_OUTCOMES,
} from './consts.js';

interface TargetOutcomes {
  windowStartMs: number;
  outcomes: number;
  failures: number;
  ejectedUntilMs: number;
  /** Ejections without a window of mostly successful requests between them. */
  consecutiveEjections: number;
}

/**
 * Counts the outcomes of each target's requests and ejects a target for some
 * time when most of them fail. A target that fails requests immediately has a
 * low load, and would otherwise attract more and more requests.
 *
 * @example
 * outliers.recordOutcome({vm: 'engine-1', failed: true});
 * outliers.filterSelectable({vms: ['engine-1', 'engine-2']});
 */
export class OutlierDetector {
  private readonly records = new Map<string, TargetOutcomes>();

  constructor(private readonly options: {clock: Clock}) {}

  recordOutcome(options: {vm: string; failed: boolean}): void {
    const record = this.recordOf(options.vm);
    record.outcomes++;
    if (options.failed) record.failures++;
    if (record.outcomes < MIN_OUTCOMES) return;
    if (record.failures >= record.outcomes * FAILURE_SHARE_THRESHOLD) {
      this.eject(record);
    } else if (record.outcomes >= 2 * MIN_OUTCOMES) {
      record.consecutiveEjections = 0;
    }
  }

  /** Discards the outcomes of a target that was replaced or restarted. */
  forget(vm: string): void {
    this.records.delete(vm);
  }

  isEjected(vm: string): boolean {
    const untilMs = this.records.get(vm)?.ejectedUntilMs ?? 0;
    return this.options.clock.now() < untilMs;
  }

  /**
   * The targets that may be chosen: those that are not ejected and, if more
   * than `MAX_EJECTED_SHARE` are, the ones whose ejection ends first.
   */
  filterSelectable(options: {vms: readonly string[]}): string[] {
    const {vms} = options;
    const ejected = vms.filter((vm) => this.isEjected(vm));
    const allowed = Math.floor(vms.length * MAX_EJECTED_SHARE);
    const readmitted = ejected
      .sort((a, b) => this.ejectedUntilMs(a) - this.ejectedUntilMs(b))
      .slice(0, Math.max(0, ejected.length - allowed));
    return vms.filter((vm) => !ejected.includes(vm) || readmitted.includes(vm));
  }

  private ejectedUntilMs(vm: string): number {
    return this.records.get(vm)?.ejectedUntilMs ?? 0;
  }

  private eject(record: TargetOutcomes): void {
    const nowMs = this.options.clock.now();
    const ejectionMs = Math.min(
      BASE_EJECTION_MS * 2 ** record.consecutiveEjections,
      MAX_EJECTION_MS,
    );
    record.ejectedUntilMs = nowMs + ejectionMs;
    record.consecutiveEjections++;
    record.outcomes = 0;
    record.failures = 0;
  }

  private recordOf(vm: string): TargetOutcomes {
    const nowMs = this.options.clock.now();
    let record = this.records.get(vm);
    if (record === undefined) {
      record = {
        windowStartMs: nowMs,
        outcomes: 0,
        failures: 0,
        ejectedUntilMs: 0,
        consecutiveEjections: 0,
      };
      this.records.set(vm, record);
    }
    if (nowMs - record.windowStartMs > FAILURE_WINDOW_MS) {
      record.windowStartMs = nowMs;
      record.outcomes = 0;
      record.failures = 0;
    }
    return record;
  }
}
