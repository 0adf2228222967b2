/** Registrations by other writers, which name no usable target. */
import {Agent} from 'node:http';

import {afterEach, describe, expect, it} from 'vitest';

import {StoreObjectKind} from '../../platform/names.js';
import {SitePath, SiteService} from '../../stand-ins/site/config.js';
import {RawJson} from '../../stand-ins/site/store.js';
import {DirectSite, waitFor} from '../support/direct-site.js';

const DEPTH = 50_000;
const ENTRIES = 3;
const ODD_NAME = 'i-odd';
const TIMEOUT_MS = 15_000;

/** Time in which an entry would fail over an odd registration, in ms. */
const SETTLING_MS = 150;

const DEEP = '['.repeat(DEPTH) + ']'.repeat(DEPTH);

/** A registration that is sound but for some fields, as JSON. */
function registration(fields: Record<string, string>): string {
  const sound = {
    service: '"desk"',
    address: '"127.0.0.1:9"',
    zone: '"a"',
    version: '1',
    slots: '4',
    state: '"ready"',
    warmup_left_ms: '0',
    sequence: '1',
    born: '1700000000000',
  };
  const all = Object.entries({...sound, ...fields});
  return `{${all.map(([key, value]) => `"${key}":${value}`).join(',')}}`;
}

const ODD = [
  {name: 'nested deeply as a whole', json: DEEP},
  {name: 'nested deeply in its service', json: registration({service: DEEP})},
  {name: 'nested deeply in its address', json: registration({address: DEEP})},
  {name: 'nested deeply in a new field', json: registration({extra: DEEP})},
  {name: 'with too many slots', json: registration({slots: '1e400'})},
  {name: 'with a start of 1e400', json: registration({born: '1e400'})},
  {name: 'with a start of -1e308', json: registration({born: '-1e308'})},
  {name: 'with a sequence of 1e400', json: registration({sequence: '1e400'})},
  {
    name: 'with a port out of range',
    json: registration({address: '"127.0.0.1:99999"'}),
  },
  {name: 'with port 0', json: registration({address: '"127.0.0.1:0"'})},
  {
    name: 'with an address out of range',
    json: registration({address: '"999.0.0.1:80"'}),
  },
  {name: 'that is null', json: 'null'},
  {name: 'that is a number', json: '7'},
];

describe('an odd registration', () => {
  let site: DirectSite;

  afterEach(() => site.stop());

  const putOdd = (json: string) =>
    site.store.put({
      kind: StoreObjectKind.TARGETS,
      name: ODD_NAME,
      spec: new RawJson(json),
    });

  /** Each entry serves a call and follows a target that is added now. */
  const expectSound = async () => {
    await new Promise((resolve) => setTimeout(resolve, SETTLING_MS));
    const added = await site.addTarget({service: SiteService.DESK, zone: 'b'});
    await waitFor(() =>
      site.entries.every(({process}) =>
        process.usableTargetIds().includes(added.id),
      ),
    );
    for (let entry = 0; entry < ENTRIES; entry++) {
      const path = SitePath.SAFE;
      const reply = await site.call({path, entry, agent: new Agent()});
      expect(reply.status).toBe(200);
      const usable = site.entries[entry]!.process.usableTargetIds();
      expect(usable).not.toContain(ODD_NAME);
    }
  };

  it.each(
    ODD.flatMap((odd) => [
      {...odd, hasRelay: false},
      {...odd, hasRelay: true},
    ]),
  )(
    '$name ends or blinds no entry (through other entries: $hasRelay)',
    {timeout: TIMEOUT_MS},
    async ({json, hasRelay}) => {
      site = await DirectSite.start({entries: ENTRIES, hasRelay});
      await site.addTarget({service: SiteService.DESK, zone: 'a'});
      putOdd(json);
      await expectSound();
      // A restarted entry finds it in the full list.
      site.entries[0]!.stop();
      await site.startEntry(0);
      await waitFor(() => site.entry.isReady());
      await expectSound();
    },
  );
});
