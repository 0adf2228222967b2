/** Finds targets that answer fast because they fail. */
import type {Clock} from '../clock/index.js';
import {
  BASE_EJECTION_MS,
  FAILURE_SHARE_THRESHOLD,
  FAILURE_WINDOW_MS,
  MAX_EJECTION_MS,
  MAX_EJECTED_SHARE,
  MIN_OUTCOMES,
} from './consts.js';

interface TargetRecord {
  windowAtMs: number;
  outcomes: number;
  failures: number;
  ejectedUntilMs: number;
  /** Ejections with no good window between them. */
  ejections: number;
}

/**
 * Counts the outcomes of each target and takes one out of the choice for a
 * while when most of its requests fail. A target whose load looks low since
 * it fails at once would otherwise draw ever more requests.
 *
 * @example
 * watch.note({vm: 'engine-1', failed: true});
 * watch.keep({vms: ['engine-1', 'engine-2']});
 */
export class OutlierDetector {
  private readonly records = new Map<string, TargetRecord>();

  constructor(private readonly options: {clock: Clock}) {}

  recordOutcome(options: {vm: string; failed: boolean}): void {
    const record = this.recordOf(options.vm);
    record.outcomes++;
    if (options.failed) record.failures++;
    if (record.outcomes < MIN_OUTCOMES) return;
    if (record.failures >= record.outcomes * FAILURE_SHARE_THRESHOLD) {
      this.eject(record);
    } else if (record.outcomes >= 2 * MIN_OUTCOMES) {
      record.ejections = 0;
    }
  }

  /** Forgets a target that was replaced or restarted. */
  forget(vm: string): void {
    this.records.delete(vm);
  }

  isEjected(vm: string): boolean {
    const until = this.records.get(vm)?.ejectedUntilMs ?? 0;
    return this.options.clock.now() < until;
  }

  /**
   * The targets that may be chosen. At most a share of them stays out; those
   * whose ejection ends first come back beyond that.
   */
  filterSelectable(options: {vms: readonly string[]}): string[] {
    const {vms} = options;
    const out = vms.filter((vm) => this.isEjected(vm));
    const allowed = Math.floor(vms.length * MAX_EJECTED_SHARE);
    const excess = out
      .sort((a, b) => this.untilOf(a) - this.untilOf(b))
      .slice(0, Math.max(0, out.length - allowed));
    return vms.filter((vm) => !out.includes(vm) || excess.includes(vm));
  }

  private untilOf(vm: string): number {
    return this.records.get(vm)?.ejectedUntilMs ?? 0;
  }

  private eject(record: TargetRecord): void {
    const nowMs = this.options.clock.now();
    const forMs = Math.min(
      BASE_EJECTION_MS * 2 ** record.ejections,
      MAX_EJECTION_MS,
    );
    record.ejectedUntilMs = nowMs + forMs;
    record.ejections++;
    record.outcomes = 0;
    record.failures = 0;
  }

  private recordOf(vm: string): TargetRecord {
    const nowMs = this.options.clock.now();
    let record = this.records.get(vm);
    if (record === undefined) {
      record = {
        windowAtMs: nowMs,
        outcomes: 0,
        failures: 0,
        ejectedUntilMs: 0,
        ejections: 0,
      };
      this.records.set(vm, record);
    }
    if (nowMs - record.windowAtMs > FAILURE_WINDOW_MS) {
      record.windowAtMs = nowMs;
      record.outcomes = 0;
      record.failures = 0;
    }
    return record;
  }
}
