/** Asks targets whether they are there, when there is reason to doubt it. */
import type {Result} from 'neverthrow';
import {err} from 'neverthrow';

import type {Clock} from '../core/clock/index.js';
import type {DirectTargets} from '../core/edges/direct-target.js';
import type {Logger} from '../core/logs/index.js';
import type {ReportedLoad, Target, TargetSet} from '../core/targets/index.js';
import {REPORT_LAG_MS} from '../core/targets/index.js';
import {
  PROBE_CACHE_MS,
  PROBE_TIMEOUT_MS,
  MAX_REPORT_AGE_MS,
  DATA_CENTRE_PROBE_INTERVAL_MS,
} from './consts.js';

interface Probe {
  readonly startedMs: number;
  readonly outcome: Promise<boolean>;
}

/**
 * Probes targets. Data centres fail as a whole, so a target that is lost
 * casts doubt on its neighbours: they are probed before they are given work.
 *
 * @example
 * if (!(await prober.isAlive(target))) leave(target);
 */
export class Prober {
  private readonly probes = new WeakMap<Target, Probe>();
  private readonly dataCentreProbedMs = new Map<string, number>();

  constructor(
    private readonly options: {
      clock: Clock;
      client: DirectTargets;
      targets: TargetSet;
      logger: Logger;
      /** Whether a target can be asked: only engines tell of themselves. */
      isEngine: (target: Target) => boolean;
      /** Path of a target's own health check. */
      healthPathOf: (target: Target) => string | undefined;
    },
  ) {}

  /** Whether a target answers; an engine that does not is paused. */
  isAlive(target: Target): Promise<boolean> {
    const nowMs = this.options.clock.now();
    const cached = this.probes.get(target);
    if (cached !== undefined && nowMs - cached.startedMs < PROBE_CACHE_MS) {
      return cached.outcome;
    }
    const outcome = this.options.isEngine(target)
      ? this.probe(target)
      : this.checkHealth(target);
    this.probes.set(target, {startedMs: nowMs, outcome});
    return outcome;
  }

  /**
   * Whether a target shows, later than `sinceMs`, that it is there.
   */
  isAliveSince(target: Target, sinceMs: number): Promise<boolean> {
    const cached = this.probes.get(target);
    if (cached === undefined || cached.startedMs < sinceMs) {
      this.probes.delete(target);
    }
    return this.isAlive(target);
  }

  /** Whether a target tells of its birth, so that a restart shows. */
  reportsStartTime(target: Target): boolean {
    return (
      this.options.isEngine(target) && target.record.startedAtMs !== undefined
    );
  }

  /** Asks those of some targets that were not asked lately. */
  async refreshReports(targets: readonly Target[]): Promise<void> {
    const stale = targets.filter((t) => t.reportAgeMs() > MAX_REPORT_AGE_MS);
    await Promise.all(stale.map((target) => this.isAlive(target)));
  }

  /** Looks at the other targets beside one that was lost. */
  probeDataCentreOf(lost: Target): void {
    const {clock, targets} = this.options;
    if (!this.options.isEngine(lost)) return;
    const {dataCentre, service} = lost.record;
    const key = `${dataCentre} ${service}`;
    const nowMs = clock.now();
    const lastMs = this.dataCentreProbedMs.get(key) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - lastMs < DATA_CENTRE_PROBE_INTERVAL_MS) return;
    this.dataCentreProbedMs.set(key, nowMs);
    for (const target of targets.ofService(service)) {
      const isInDataCentre = target.record.dataCentre === dataCentre;
      if (isInDataCentre && !target.isPaused()) void this.isAlive(target);
    }
  }

  /** The time limit also covers the opening of a connection. */
  private requestReport(target: Target): Promise<Result<ReportedLoad, string>> {
    const {client, clock} = this.options;
    return new Promise((resolve) => {
      const timer = clock.schedule({
        delayMs: PROBE_TIMEOUT_MS,
        run: () => resolve(err(`no answer in ${PROBE_TIMEOUT_MS} ms`)),
      });
      void client.queryLoad(target.record, PROBE_TIMEOUT_MS).then((report) => {
        timer.cancel();
        resolve(report);
      });
    });
  }

  /** Asks a paused target again before its pause ends. */
  recheckPaused(target: Target, pauseMs: number): void {
    const delayMs = pauseMs - PROBE_TIMEOUT_MS * 2;
    if (!this.options.isEngine(target) || delayMs <= 0) return;
    this.options.clock.schedule({
      delayMs,
      run: () => {
        if (!target.record.isDraining) void this.isAlive(target);
      },
    });
  }

  private async checkHealth(target: Target): Promise<boolean> {
    const path = this.options.healthPathOf(target);
    if (path === undefined) return false;
    const health = await this.options.client.probeHealth({
      target: target.record,
      path,
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    return health.isOk() && health.value === target.id;
  }

  private async probe(target: Target): Promise<boolean> {
    const {logger} = this.options;
    const report = await this.requestReport(target);
    if (report.isOk() && isOtherIncarnation(target, report.value)) {
      target.recordIncarnationEnded();
      logger.info('target was replaced', {
        target: target.id,
        bornMs: report.value.startedAtMs,
      });
      return false;
    }
    if (report.isOk()) {
      target.recordLoad(report.value, REPORT_LAG_MS);
      target.recordSuccess();
      return true;
    }
    target.pause();
    logger.info('target does not answer', {
      target: target.id,
      dataCentre: target.record.dataCentre,
      detail: report.error,
    });
    this.probeDataCentreOf(target);
    return false;
  }
}

/** Another target, or a restarted one, has the address now. */
function isOtherIncarnation(
  {record}: Target,
  {startedAtMs: bornMs}: ReportedLoad,
): boolean {
  const isReported = bornMs !== undefined && record.startedAtMs !== undefined;
  return isReported && bornMs !== record.startedAtMs;
}
