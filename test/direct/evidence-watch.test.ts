/** What operators see of evidence that is too old to judge by. */
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import type {LogFields} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import type {EvidenceRow} from '../../src/core/rollouts/index.js';
import {RolloutController, RolloutStep} from '../../src/core/rollouts/index.js';
import {EvidenceWatch} from '../../src/direct/rollouts/evidence-watch.js';

const ROW: EvidenceRow = {
  service: 'desk',
  order: 'o1',
  vm: 'edge-2',
  tick: 1,
  ageMs: 100,
  step: RolloutStep.CANARY,
  oldOpen: 0,
  cells: [],
};

const ROUND_MS = 250;

describe('old evidence', () => {
  let clock: ManualClock;
  let lines: LogFields[];
  let delays: {totalMs: number};
  let metrics: Metrics;
  let controller: RolloutController;
  let watch: EvidenceWatch;

  beforeEach(() => {
    clock = new ManualClock();
    lines = [];
    delays = {totalMs: 0};
    metrics = new Metrics();
    const target = {service: 'desk', target: 'v2', durationMs: 30_000};
    const record = {id: 'o1', revision: 1, ...target};
    const settings = {exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000};
    const vm = 'edge-1';
    controller = new RolloutController({record, vm, settings, clock});
    const warn = (_: string, fields: LogFields = {}) => lines.push(fields);
    const logger = {info: () => undefined, warn, error: () => undefined};
    watch = new EvidenceWatch({delays, clock, logger, metrics});
  });

  const round = ({isRead}: {isRead: boolean}, ms = ROUND_MS) => {
    clock.advance(ms);
    if (isRead) controller.recordRead(clock.now());
    watch.beginRound();
    watch.update(controller);
  };

  const rounds = (count: number, about: {isRead: boolean}) => {
    for (let i = 0; i < count; i++) round(about);
  };

  it('is not told while rows are read', () => {
    rounds(40, {isRead: true});
    expect(lines).toEqual([]);
  });

  it('that this entry could not read is told once', async () => {
    rounds(40, {isRead: false});
    expect(lines).toMatchObject([{reason: 'unread', service: 'desk'}]);
    expect(await metrics.render()).toMatch(
      /rollout_old_evidence_total\{.*unread.*\} 1/,
    );
  });

  it('of a process that was not run is told as such', () => {
    round({isRead: true});
    delays.totalMs += 6_000;
    round({isRead: false}, 6_000);
    expect(lines).toMatchObject([{reason: 'paused', ageMs: 6_000}]);
  });

  it('of an entry that has become silent is told once', () => {
    controller.hear(ROW);
    rounds(40, {isRead: true});
    expect(lines).toMatchObject([{reason: 'silent', entries: 'edge-2'}]);
  });

  it('that comes and goes is told at a bounded rate, and counted', async () => {
    for (let i = 0; i < 20; i++) {
      rounds(12, {isRead: false});
      round({isRead: true});
    }
    expect(lines.length).toBeLessThanOrEqual(14);
    expect(await metrics.render()).toMatch(/\} 20$/m);
  });
});
