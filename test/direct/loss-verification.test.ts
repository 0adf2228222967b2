/** A request is quarantined only for targets that no longer run. */
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {beforeEach, describe, expect, it} from 'vitest';

import {ManualClock, SeededRandom, sleep} from '../../src/core/clock/index.js';
import type {DirectTargets} from '../../src/core/edges/direct-target.js';
import {SILENT_LOGGER} from '../../src/core/logs/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import {LossLedger, Quarantine} from '../../src/core/poison/index.js';
import type {TargetRecord} from '../../src/core/targets/index.js';
import {incarnationOf, TargetSet} from '../../src/core/targets/index.js';
import {LossDiagnosis} from '../../src/direct/poison/loss-diagnosis.js';
import {Prober} from '../../src/direct/prober.js';
import {silentSupervisor} from '../support/supervisor.js';

const SEED = 20261204;
const REQUEST = 'a request';
const ACCOUNT = 'account-a';
const STARTED_AT_MS = 1_000;
const ZONES = ['a', 'b', 'c'];

/** Longer than a whole diagnosis, in milliseconds. */
const ENOUGH_MS = 5_000;
const TICK_MS = 10;

/** How a target answers the probes after its loss. */
interface Answer {
  /** Undefined if the target is silent. */
  readonly afterMs?: number;
  /** Whether the connection is refused. */
  readonly isRefused?: boolean;
  readonly startedAtMs?: number;
}

const SLOW: Answer = {afterMs: 400, startedAtMs: STARTED_AT_MS};
const REFUSING: Answer = {afterMs: 1, isRefused: true};
const RESTARTED: Answer = {afterMs: 400, startedAtMs: STARTED_AT_MS + 1};
const SILENT: Answer = {};

const recordOf = (i: number): TargetRecord => ({
  id: `i-${i}`,
  service: 'writers',
  dataCentre: ZONES[i]!,
  address: `10.0.0.${i}:80`,
  isDraining: false,
  startedAtMs: STARTED_AT_MS,
  slots: 8,
});

/** A list without an outage before it. */
const IN_TOUCH = {afterOutage: false, isRestored: false};

describe('a request that lost three targets', () => {
  let clock: ManualClock;
  let ledger: LossLedger;
  let targets: TargetSet;
  let probes: number;

  beforeEach(() => {
    probes = 0;
    clock = new ManualClock();
    ledger = new LossLedger({clock});
    targets = new TargetSet({clock, onRemoved: () => undefined});
    targets.replaceAll(
      ZONES.map((_, i) => ({name: `i-${i}`, value: recordOf(i)})),
      IN_TOUCH,
    );
  });

  const createDiagnosis = (answers: readonly Answer[]) => {
    const queryLoad = ({id}: TargetRecord) => {
      probes++;
      const answer = answers[Number(id.slice('i-'.length))]!;
      if (answer.afterMs === undefined)
        return ResultAsync.fromSafePromise(new Promise<never>(() => undefined));
      const load = {running: 1, waiting: 0, startedAtMs: answer.startedAtMs};
      return ResultAsync.fromSafePromise(sleep(clock, answer.afterMs)).andThen(
        () => (answer.isRefused === true ? errAsync('refused') : okAsync(load)),
      );
    };
    const random = new SeededRandom(SEED);
    const supervisor = silentSupervisor(clock);
    const logger = SILENT_LOGGER;
    const shared = {clock, random, targets, logger, supervisor};
    const prober = new Prober({
      ...shared,
      client: {queryLoad} as unknown as DirectTargets,
      isEngine: () => true,
      healthPathOf: () => undefined,
      onHealthCheck: () => undefined,
    });
    return new LossDiagnosis({
      ...shared,
      prober,
      ledger,
      quarantine: new Quarantine(),
      metrics: new Metrics(),
      hasServed: () => false,
      onLost: () => undefined,
      onChanged: () => undefined,
      raiseAlert: () => Promise.resolve(),
      syncLosses: () => Promise.resolve(),
    });
  };

  /** Losses that another entry has recorded and settled. */
  const recordRemoteLosses = () =>
    ledger.updateEntry('entry-2', {
      losses: ZONES.map((_, i) => ({
        request: REQUEST,
        life: incarnationOf(recordOf(i)),
        isSettled: true,
      })),
      harmless: [],
    });

  const recordOwnLosses = (diagnosis: LossDiagnosis) => {
    for (const target of targets.all()) {
      diagnosis.diagnose({
        id: `try ${target.id}`,
        suspects: {request: REQUEST, promptParts: []},
        clientAccount: ACCOUNT,
        promptParts: [],
        target,
        startedMs: clock.now(),
      });
    }
  };

  const judge = async (diagnosis: LossDiagnosis): Promise<boolean> => {
    let verdict: boolean | undefined;
    void diagnosis
      .isPoison({suspect: REQUEST, clientAccount: ACCOUNT})
      .then((isPoison) => (verdict = isPoison));
    for (let ms = 0; verdict === undefined && ms < ENOUGH_MS; ms += TICK_MS) {
      clock.advance(TICK_MS);
      for (let i = 0; i < 50; i++) await Promise.resolve();
    }
    return verdict!;
  };

  const CASES = [
    {name: 'one responds slowly', answers: [SLOW, SILENT, REFUSING]},
    {name: 'all respond slowly', answers: [SLOW, SLOW, SLOW]},
  ];

  it.each(CASES)(
    'is not quarantined if $name, and this entry saw the losses',
    async ({answers}) => {
      const diagnosis = createDiagnosis(answers);
      recordOwnLosses(diagnosis);
      expect(await judge(diagnosis)).toBe(false);
    },
  );

  it.each(CASES)(
    'is not quarantined if $name, and another entry saw the losses',
    async ({answers}) => {
      const diagnosis = createDiagnosis(answers);
      recordRemoteLosses();
      expect(await judge(diagnosis)).toBe(false);
    },
  );

  it.each([
    {name: 'refuse connections', answer: REFUSING},
    {name: 'are silent', answer: SILENT},
    {name: 'have restarted', answer: RESTARTED},
  ])('is quarantined if they $name', async ({answer}) => {
    const diagnosis = createDiagnosis([answer, answer, answer]);
    recordRemoteLosses();
    expect(await judge(diagnosis)).toBe(true);
  });

  it('is verified once, however many wait for the verdict', async () => {
    const diagnosis = createDiagnosis([SILENT, SILENT, SILENT]);
    recordRemoteLosses();
    const verdicts = Array.from({length: 20}, () => judge(diagnosis));
    expect(await Promise.all(verdicts)).not.toContain(false);
    expect(probes).toBe(ZONES.length);
  });

  it('is quarantined if they are no longer registered', async () => {
    const diagnosis = createDiagnosis([SLOW, SLOW, SLOW]);
    recordRemoteLosses();
    targets.replaceAll([], IN_TOUCH);
    expect(await judge(diagnosis)).toBe(true);
  });

  it('is quarantined if a target that had responded is lost again', async () => {
    const diagnosis = createDiagnosis([SLOW, REFUSING, REFUSING]);
    recordRemoteLosses();
    expect(await judge(diagnosis)).toBe(false);
    ledger.recordLoss({
      suspect: REQUEST,
      incarnation: incarnationOf(recordOf(0)),
    });
    ledger.confirm({suspect: REQUEST, incarnation: incarnationOf(recordOf(0))});
    targets.replaceAll([], IN_TOUCH);
    expect(await judge(diagnosis)).toBe(true);
  });
});
