import fc from 'fast-check';
import {describe, expect, it} from 'vitest';

import type {ConfigUpdate} from '../../../src/core/config/distribution/index.js';
import {
  ConfigHolder,
  electWatchers,
  ExchangeStep,
  selectConfigPeers,
  WATCHERS_PER_DATA_CENTRE,
} from '../../../src/core/config/distribution/index.js';

const SEED = 61;
const PROCESSES = 4;
const PLATFORM = -1;

/** Delivery of one update, from the platform or from a peer. */
const DELIVERY = fc.record({
  from: fc.integer({min: PLATFORM, max: PROCESSES - 1}),
  to: fc.integer({min: 0, max: PROCESSES - 1}),
  /** Whether only the version is delivered, without the value. */
  isVersionOnly: fc.boolean(),
  /** Delivers the update sent this many updates before the newest. */
  updatesBack: fc.nat({max: 20}),
  /** Whether the platform accepts a new version first. */
  hasNewVersion: fc.boolean(),
  /** Whether the receiver restarts first, without a configuration. */
  isReceiverRestarted: fc.boolean(),
});

describe('ConfigHolder', () => {
  it(`holds the highest version received, never an older one (seed ${SEED})`, () => {
    fc.assert(
      fc.property(fc.array(DELIVERY, {maxLength: 120}), (deliveries) => {
        const holders = Array.from(
          {length: PROCESSES},
          () => new ConfigHolder(),
        );
        const highest = holders.map(() => 0);
        const sent: ConfigUpdate[] = [{version: 0, value: null}];
        let accepted = 0;
        for (const {
          from,
          to,
          isVersionOnly,
          updatesBack,
          hasNewVersion,
          isReceiverRestarted,
        } of deliveries) {
          if (hasNewVersion) accepted++;
          if (isReceiverRestarted) {
            holders[to] = new ConfigHolder();
            highest[to] = 0;
          }
          const currentUpdate =
            from === PLATFORM
              ? {version: accepted, value: `v${accepted}`}
              : holders[from]!.latest;
          sent.push(currentUpdate);
          const sentUpdate = sent[Math.max(0, sent.length - 1 - updatesBack)]!;
          const update = isVersionOnly
            ? {...sentUpdate, value: null}
            : sentUpdate;
          const before = holders[to]!.version;
          holders[to]!.offer(update);
          if (update.value !== null) {
            highest[to] = Math.max(highest[to]!, update.version);
          }
          expect(holders[to]!.version).toBeGreaterThanOrEqual(before);
          expect(holders[to]!.version).toBe(highest[to]);
          const {version, value} = holders[to]!.latest;
          if (version > 0) expect(value).toBe(`v${version}`);
        }
      }),
      {seed: SEED},
    );
  });

  it('brings two processes to the same version within three messages', () => {
    fc.assert(
      fc.property(fc.nat({max: 9}), fc.nat({max: 9}), (a, b) => {
        const [first, second] = [new ConfigHolder(), new ConfigHolder()];
        first.offer({version: a, value: 'a'});
        second.offer({version: b, value: 'b'});
        let [sender, receiver] = [first, second];
        let update: ConfigUpdate | undefined = {version: a, value: null};
        for (let i = 0; i < 3 && update !== undefined; i++) {
          const step = receiver.resolveStep(update);
          receiver.offer(update);
          [sender, receiver] = [receiver, sender];
          if (step === ExchangeStep.SEND) update = sender.latest;
          else if (step === ExchangeStep.ASK) {
            update = {version: sender.version, value: null};
          } else update = undefined;
        }
        expect(first.version).toBe(second.version);
        expect(first.version).toBe(Math.max(a, b));
      }),
      {seed: SEED},
    );
  });
});

const MEMBERS = fc.uniqueArray(
  fc.record({
    vm: fc.integer({min: 1, max: 99}).map((n) => `entry-${n}`),
    dataCentre: fc.constantFrom('waw', 'poz', 'krk'),
  }),
  {selector: ({vm}) => vm, minLength: 1, maxLength: 40},
);

describe('electWatchers', () => {
  it(`ignores the order of members and replaces only lost watchers`, () => {
    fc.assert(
      fc.property(MEMBERS, (members) => {
        const {dataCentre} = members[0]!;
        const localMembers = members.filter((m) => m.dataCentre === dataCentre);
        const watchers = electWatchers({dataCentre, members});
        const reversed = [...members].reverse();
        expect(electWatchers({dataCentre, members: reversed})).toEqual(
          watchers,
        );
        expect(watchers).toHaveLength(
          Math.min(localMembers.length, WATCHERS_PER_DATA_CENTRE),
        );
        const remaining = members.filter(({vm}) => vm !== watchers[0]);
        const next = electWatchers({dataCentre, members: remaining});
        expect(next).toEqual(expect.arrayContaining(watchers.slice(1)));
      }),
      {seed: SEED},
    );
  });

  it('gives each entry the watchers of its data centre and a remote peer', () => {
    fc.assert(
      fc.property(MEMBERS, (members) => {
        for (const self of members) {
          const {dataCentre} = self;
          const peers = selectConfigPeers({self, members});
          const watchers = electWatchers({dataCentre, members});
          const localWatchers = watchers.filter((vm) => vm !== self.vm);
          expect(peers).toEqual(expect.arrayContaining(localWatchers));
          expect(peers).not.toContain(self.vm);
          const hasRemoteMember = members.some(
            (m) => m.dataCentre !== dataCentre,
          );
          expect(peers.length).toBe(
            localWatchers.length + Number(hasRemoteMember),
          );
        }
      }),
      {seed: SEED},
    );
  });
});
