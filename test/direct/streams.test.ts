/** Event streams through a direct entry, whose targets are lost midway. */
import {Agent} from 'node:http';

import {afterEach, beforeEach, describe, expect, it} from 'vitest';

import {Header, StoreObjectKind} from '../../platform/names.js';
import {POISON_LOSSES} from '../../src/core/poison/index.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import type {StandInTarget} from '../../stand-ins/site/target.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

/** Long enough for a change of the targets to be read during the stream. */
const EVENTS = 100;
const ZONES = ['a', 'a', 'b', 'b', 'c'];
const PACE = {events: EVENTS, firstMs: 30, gapMs: 16};

/** Time for a change in the store to reach an entry, in milliseconds. */
const PROPAGATION_MS = 300;

/** How a target is lost. */
enum Loss {
  CRASH = 'crash',
  UNREACHABLE = 'unreachable',
}

/** Which targets are lost. */
enum Extent {
  RUNNER = 'runner',
  DATA_CENTRE = 'data centre',
  RUNNER_AND_COPY = 'runner and copy',
}

const CASES = Object.values(Loss).flatMap((loss) =>
  Object.values(Extent).map((extent) => ({loss, extent})),
);

describe('a stream', () => {
  let site: DirectSite;

  beforeEach(async () => {
    site = await DirectSite.start();
    const service = SiteService.WRITERS;
    await site.addTargets(ZONES.map((zone) => ({service, zone, pace: PACE})));
  });

  afterEach(() => site.stop());

  const zoneOf = (target: StandInTarget) => ZONES[site.targets.indexOf(target)];

  const runner = () => site.targets.find((t) => t.runs.length > 0)!;

  const holder = () => site.targets.find((t) => t.copies.size > 0)!;

  function lose(target: StandInTarget, loss: Loss): void {
    if (loss === Loss.CRASH) target.crash();
    else target.isUnresponsive = true;
  }

  /** Makes targets drain, or take work again, and waits until this is known. */
  async function setUsable(
    targets: readonly StandInTarget[],
    isUsable: boolean,
  ): Promise<void> {
    const service = SiteService.WRITERS;
    const state = isUsable ? 'ready' : 'draining';
    for (const target of targets)
      site.register(target, {service, zone: zoneOf(target)!, state});
    await waitFor(() => {
      const usable = site.entry.usableTargetIds();
      return targets.every(({id}) => usable.includes(id) === isUsable);
    });
  }

  /** Each target that runs a request with this body crashes. */
  function crashTargetsOn(mark: string): void {
    for (const target of site.targets) {
      target.crashOn = {marker: mark, afterEvents: 0};
    }
  }

  function loseExtent(extent: Extent, loss: Loss): void {
    const first = runner();
    const lost = site.targets.filter(
      (target) =>
        target === first ||
        (extent === Extent.DATA_CENTRE && zoneOf(target) === zoneOf(first)) ||
        (extent === Extent.RUNNER_AND_COPY && target === holder()),
    );
    for (const target of lost) lose(target, loss);
  }

  const expected = (id: string) =>
    Array.from(
      {length: EVENTS},
      (_, i) => `id: ${i + 1}\ndata: piece ${i + 1} of ${id}\n\n`,
    ).join('');

  it('is forwarded in full, with a copy in another data centre', async () => {
    const reply = await site.call({path: SitePath.STREAM});
    expect(reply.text).toBe(expected('try-1'));
    expect(zoneOf(holder())).not.toBe(zoneOf(runner()));
  });

  it.each(CASES)(
    'is resumed and completed after loss by $loss of $extent',
    async (row) => {
      let isLost = false;
      const reply = await site.call({
        path: SitePath.STREAM,
        onData: (text) => {
          if (isLost || !text.includes('id: 20\n')) return;
          isLost = true;
          loseExtent(row.extent, row.loss);
        },
      });
      expect(isLost).toBe(true);
      expect(reply.status).toBe(200);
      expect(reply.isComplete).toBe(true);
      expect(reply.text).toBe(expected('try-1'));
      const recomputed = site.targets
        .flatMap((target) => target.runs)
        .filter((run) => run.hasFullPrefill).length;
      const hasCopy = row.extent !== Extent.RUNNER_AND_COPY;
      expect(recomputed).toBe(hasCopy ? 1 : 2);
    },
  );

  it('is resumed with a priority class more urgent than at first', async () => {
    let isLost = false;
    await site.call({
      path: SitePath.STREAM,
      onData: (text) => {
        if (isLost || !text.includes('id: 20\n')) return;
        isLost = true;
        runner().crash();
      },
    });
    const classes = site.targets
      .flatMap((target) => target.runs)
      .map(({headers}) => headers[Header.PRIORITY]);
    expect(classes.sort()).toEqual(['0', '1']);
  });

  it('is copied again when the holder of the first copy is lost', async () => {
    let first: StandInTarget | undefined;
    let isLost = false;
    const reply = await site.call({
      path: SitePath.STREAM,
      onData: (text) => {
        if (first === undefined) {
          if (!text.includes('id: 5\n')) return;
          first = holder();
          first.crash();
          site.store.remove({kind: StoreObjectKind.TARGETS, name: first.id});
        }
        const hasAnother = site.targets.some(
          (target) => target !== first && target.copies.size > 0,
        );
        if (isLost || !hasAnother) return;
        isLost = true;
        // The entry must receive the response about the copy first.
        setTimeout(() => runner().crash(), 100);
      },
    });
    expect(isLost).toBe(true);
    expect(reply.text).toBe(expected('try-1'));
    const runs = site.targets.flatMap((target) => target.runs);
    expect(runs.filter((run) => run.hasFullPrefill)).toHaveLength(1);
  });

  it('has its copy freed if the copy was not needed', async () => {
    let first: StandInTarget | undefined;
    await site.call({
      path: SitePath.STREAM,
      onData: (text) => {
        if (first !== undefined || !text.includes('id: 5\n')) return;
        first = holder();
        first.crash();
        site.store.remove({kind: StoreObjectKind.TARGETS, name: first.id});
      },
    });
    const freed = () => site.targets.flatMap((target) => target.releasedCopies);
    await waitFor(() => freed().length > 0);
    expect(freed()).toEqual(['copy-of-try-1']);
  });

  it('resumes after the last event that the caller received', async () => {
    const reply = await site.call({
      path: SitePath.STREAM,
      headers: {'Last-Event-Id': '98'},
    });
    expect(reply.text.startsWith('id: 99\n')).toBe(true);
    expect(reply.text).toContain(`id: ${EVENTS}\n`);
  });

  it('reaches three engines if it crashes them, and none when retried', async () => {
    crashTargetsOn('poison');
    const runs = () => site.targets.flatMap((target) => target.runs).length;
    const first = await site.call({path: SitePath.STREAM, body: 'poison'});
    expect(first.status).toBe(502);
    expect(runs()).toBe(POISON_LOSSES);
    const again = await site.call({path: SitePath.STREAM, body: 'poison'});
    expect(again.status).toBe(503);
    expect(runs()).toBe(POISON_LOSSES);
    const other = await site.call({path: SitePath.STREAM, body: 'other'});
    expect(other.isComplete).toBe(true);
  });

  it('is not sent to engines that were replaced by others', async () => {
    const [only, ...replaced] = site.targets;
    for (const target of replaced) target.bornMs++;
    for (let i = 0; i < 5; i++) {
      const reply = await site.call({path: SitePath.STREAM});
      expect(reply.status).toBe(200);
    }
    expect(only!.runs).toHaveLength(5);
  });

  it('is recorded in the store if it crashes engines', async () => {
    crashTargetsOn('poison');
    await site.call({path: SitePath.STREAM, body: 'poison'});
    const quarantined = () => site.store.namesOf(StoreObjectKind.QUARANTINE);
    await waitFor(() => quarantined().length === 1);
  });

  it('is refused if it crashed engines at another entry', async () => {
    crashTargetsOn('poison');
    await site.call({path: SitePath.STREAM, body: 'poison'});
    await waitFor(
      () => site.store.namesOf(StoreObjectKind.QUARANTINE).length === 1,
    );
    const other = await DirectSite.start();
    try {
      const [name = ''] = site.store.namesOf(StoreObjectKind.QUARANTINE);
      const spec = {clientAccount: 'account-a', crashes: ['i-1']};
      const [target] = await other.addTargets([
        {service: SiteService.WRITERS, zone: 'a', pace: PACE},
      ]);
      other.store.put({kind: StoreObjectKind.QUARANTINE, name, spec});
      await new Promise((resolve) => setTimeout(resolve, PROPAGATION_MS));
      const reply = await other.call({path: SitePath.STREAM, body: 'poison'});
      expect(reply.status).toBe(503);
      expect(target!.runs).toHaveLength(0);
      other.store.remove({kind: StoreObjectKind.QUARANTINE, name});
      await new Promise((resolve) => setTimeout(resolve, PROPAGATION_MS));
      const released = await other.call({
        path: SitePath.STREAM,
        body: 'poison',
      });
      expect(released.status).toBe(200);
    } finally {
      await other.stop();
    }
  });

  it('is not poison if many equal requests were lost with one engine', async () => {
    const [first, ...others] = site.targets;
    await setUsable(others, false);
    const calls = Array.from({length: POISON_LOSSES}, () =>
      site.call({path: SitePath.STREAM, body: 'the same', agent: new Agent()}),
    );
    await waitFor(() => first!.runs.length === POISON_LOSSES);
    await setUsable(others, true);
    first!.crash();
    for (const reply of await Promise.all(calls)) {
      expect(reply.status).toBe(200);
    }
    const resumed = others.flatMap((target) => target.runs);
    expect(resumed).toHaveLength(POISON_LOSSES);
    const again = await site.call({path: SitePath.STREAM, body: 'the same'});
    expect(again.status).toBe(200);
  });

  it('is cancelled at the target when its caller disconnects', async () => {
    const call = site.call({
      path: SitePath.STREAM,
      onData: () => site.agent.destroy(),
    });
    await call.catch(() => undefined);
    await waitFor(() => runner().cancelled === 1);
    expect(site.targets.flatMap((t) => t.runs)).toHaveLength(1);
  });
});
