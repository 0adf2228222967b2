/** Probes targets that may be unavailable. */
import type {Result} from 'neverthrow';
import {err} from 'neverthrow';

import type {Clock, RandomSource} from '../core/clock/index.js';
import type {DirectTargets} from '../core/edges/direct-target.js';
import type {Logger} from '../core/logs/index.js';
import {NewestStarts} from '../core/outages/index.js';
import type {Supervisor} from '../core/supervision/index.js';
import {TaskName} from '../core/supervision/index.js';
import type {
  ReportedLoad,
  Target,
  TargetRecord,
  TargetSet,
} from '../core/targets/index.js';
import {
  MAX_PROBED_ALONE,
  REPORT_LAG_MS,
  sampleTargets,
  ScoutRounds,
} from '../core/targets/index.js';
import {
  PROBE_CACHE_MS,
  PROBE_TIMEOUT_MS,
  MAX_REPORT_AGE_MS,
  DATA_CENTRE_PROBE_INTERVAL_MS,
} from './consts.js';

/** A probe in progress or finished. */
interface Probe {
  readonly startedMs: number;
  /** Whether the target responded. */
  readonly outcome: Promise<boolean>;
}

/**
 * Probes targets. Data centres fail as a whole, so when an engine is lost, the
 * other engines of its service in the data centre are probed too, or a sample of
 * them if there are many.
 *
 * @example
 * if (!(await prober.isAlive(target))) avoid(target);
 */
export class Prober {
  private readonly probes = new WeakMap<Target, Probe>();
  /** Times of the last probes, by data centre and service. */
  private readonly dataCentreProbedMs = new Map<string, number>();
  /** Targets in whose place another incarnation responds. */
  private readonly ended = new WeakSet<Target>();
  private readonly scouts: ScoutRounds;
  private readonly starts: NewestStarts;

  constructor(
    private readonly options: {
      clock: Clock;
      random: RandomSource;
      client: DirectTargets;
      targets: TargetSet;
      logger: Logger;
      supervisor: Supervisor;
      /** Whether a target is an engine: only engines report their load. */
      isEngine: (target: Target) => boolean;
      /** Path of the health check of a plain service. */
      healthPathOf: (target: Target) => string | undefined;
      /** Called before each health check, which takes a slot of its target. */
      onHealthCheck: (target: Target) => void;
    },
  ) {
    this.scouts = new ScoutRounds(options);
    this.starts = new NewestStarts(options);
  }

  /** Whether a target responds; an engine that does not is paused. */
  isAlive(target: Target): Promise<boolean> {
    const nowMs = this.options.clock.now();
    const cached = this.probes.get(target);
    if (cached !== undefined && nowMs - cached.startedMs < PROBE_CACHE_MS) {
      return cached.outcome;
    }
    const outcome = this.settle(() =>
      this.options.isEngine(target)
        ? this.probe(target)
        : this.checkHealth(target),
    );
    this.probes.set(target, {startedMs: nowMs, outcome});
    return outcome;
  }

  /**
   * Runs a probe whose outcome several requests may await. It never rejects:
   * after an exception nothing shows that the target responds.
   */
  private settle(work: () => Promise<boolean>): Promise<boolean> {
    const {supervisor} = this.options;
    return new Promise((resolve) => {
      const onFailure = () => resolve(false);
      const task = {name: TaskName.HEALTH_CHECK, onFailure};
      supervisor.run(task, async () => resolve(await work()));
    });
  }

  /** Whether a target responds to a probe sent at or after `sinceMs`. */
  isAliveSince(target: Target, sinceMs: number): Promise<boolean> {
    const cached = this.probes.get(target);
    if (cached === undefined || cached.startedMs < sinceMs) {
      this.probes.delete(target);
    }
    return this.isAlive(target);
  }

  /**
   * Whether the incarnation of an engine responds within a time. Unlike
   * `isAlive`, it changes nothing if it does not.
   */
  async isRunning(target: Target, timeoutMs: number): Promise<boolean> {
    const report = await this.requestReport(target, timeoutMs);
    return report.isOk() && !isOtherIncarnation(target, report.value);
  }

  /** Whether a target reports its start time, so that restarts are detected. */
  reportsStartTime(target: Target): boolean {
    return (
      this.options.isEngine(target) && target.record.startedAtMs !== undefined
    );
  }

  /**
   * Probes the given targets whose load reports are out of date. What a target
   * with a limit gets depends on permits more than on its load.
   */
  async refreshReports(targets: readonly Target[]): Promise<void> {
    const stale = targets.filter(
      (t) =>
        t.limitPerSecond === undefined && t.reportAgeMs() > MAX_REPORT_AGE_MS,
    );
    await Promise.all(stale.map((target) => this.isAlive(target)));
  }

  /** Probes the other engines of the service in a lost engine's data centre. */
  probeDataCentreOf(lost: Target): void {
    const {clock, random, targets} = this.options;
    if (!this.options.isEngine(lost)) return;
    const {dataCentre, service} = lost.record;
    const key = groupOf(lost);
    const nowMs = clock.now();
    const lastMs = this.dataCentreProbedMs.get(key) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - lastMs < DATA_CENTRE_PROBE_INTERVAL_MS) return;
    this.dataCentreProbedMs.set(key, nowMs);
    const neighbours = targets
      .ofService(service)
      .filter((t) => t.record.dataCentre === dataCentre && !t.isPaused());
    for (const target of sampleTargets({targets: neighbours, random}))
      this.startProbe(target);
  }

  /** Pauses a target if another incarnation has registered at its address. */
  noteReplaced(target: Target): void {
    if (this.ended.has(target)) return;
    const {record} = target;
    const records = () => this.recordsOf(record.service);
    if (this.starts.isReplaced(record, records)) this.endIncarnation(target);
  }

  private recordsOf(service: string): TargetRecord[] {
    return this.options.targets.ofService(service).map(({record}) => record);
  }

  private endIncarnation(target: Target): void {
    this.ended.add(target);
    target.recordIncarnationEnded();
  }

  private startProbe(target: Target): void {
    const task = {name: TaskName.HEALTH_CHECK};
    this.options.supervisor.run(task, () => this.isAlive(target));
  }

  /** Queries the load of an engine; the timeout covers the connection setup. */
  private requestReport(
    target: Target,
    timeoutMs: number,
  ): Promise<Result<ReportedLoad, string>> {
    const {client, clock, supervisor} = this.options;
    return new Promise((resolve) => {
      const finish = (report: Result<ReportedLoad, string>) => {
        timer.cancel();
        resolve(report);
      };
      const timer = clock.schedule({
        delayMs: timeoutMs,
        run: () => resolve(err(`no response within ${timeoutMs} ms`)),
      });
      const onFailure = () => finish(err('the probe failed'));
      supervisor.run({name: TaskName.HEALTH_CHECK, onFailure}, async () =>
        finish(await client.queryLoad(target.record, timeoutMs)),
      );
    });
  }

  /**
   * Probes a paused target again shortly before its pause ends. Where many of
   * its data centre are paused, a few of them are probed for all.
   */
  recheckPaused(target: Target, pauseMs: number): void {
    const delayMs = pauseMs - PROBE_TIMEOUT_MS * 2;
    if (!this.options.isEngine(target) || delayMs <= 0) return;
    const {clock, supervisor} = this.options;
    const task = {name: TaskName.HEALTH_CHECK};
    clock.schedule({
      delayMs,
      run: supervisor.guard(task, () => {
        if (target.record.isDraining || this.ended.has(target)) return;
        supervisor.run(task, () => this.recheck(target));
      }),
    });
  }

  private async recheck(target: Target): Promise<void> {
    const probe = () => this.isAlive(target);
    if (this.pausedNear(target) <= MAX_PROBED_ALONE) {
      await probe();
      return;
    }
    const key = groupOf(target);
    const responds = await this.scouts.probeAfterScouts({key, probe});
    const wasProbed = responds !== undefined;
    if (wasProbed || !target.isPaused() || target.record.isDraining) return;
    target.pause();
  }

  /** Paused engines of the same service and data centre, with this one. */
  private pausedNear(target: Target): number {
    return this.options.targets
      .ofService(target.record.service)
      .filter((t) => groupOf(t) === groupOf(target) && t.isPaused()).length;
  }

  private async checkHealth(target: Target): Promise<boolean> {
    const path = this.options.healthPathOf(target);
    if (path === undefined) return false;
    this.options.onHealthCheck(target);
    const health = await this.options.client.probeHealth({
      target: target.record,
      path,
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    return health.isOk() && health.value === target.id;
  }

  private async probe(target: Target): Promise<boolean> {
    const {logger} = this.options;
    const report = await this.requestReport(target, PROBE_TIMEOUT_MS);
    if (report.isOk() && isOtherIncarnation(target, report.value)) {
      this.endIncarnation(target);
      logger.info('target replaced by another incarnation', {
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
    const wasLost = target.unavailableSinceMs !== undefined;
    target.pause();
    logger.info('target does not respond to probe', {
      target: target.id,
      dataCentre: target.record.dataCentre,
      detail: report.error,
    });
    // Its data centre was probed when it was lost.
    if (!wasLost) this.probeDataCentreOf(target);
    return false;
  }
}

/** Data centre and service of a target, whose engines are lost together. */
function groupOf({record}: Target): string {
  return `${record.dataCentre} ${record.service}`;
}

/** Whether another target, or the same one after a restart, has responded. */
function isOtherIncarnation(
  {record}: Target,
  {startedAtMs}: ReportedLoad,
): boolean {
  const isReported =
    startedAtMs !== undefined && record.startedAtMs !== undefined;
  return isReported && startedAtMs !== record.startedAtMs;
}
