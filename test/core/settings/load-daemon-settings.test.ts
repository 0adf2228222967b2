import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import {afterAll, describe, expect, it} from 'vitest';

import {
  loadDaemonSettings,
  SettingsErrorKind,
} from '../../../src/core/settings/index.js';

const dir = mkdtempSync(join(tmpdir(), 'settings-'));
const basePath = join(dir, 'base.yaml');
const overlayPath = join(dir, 'overlay.yaml');

writeFileSync(
  basePath,
  `role: agent
vm: engine-1
dataCentre: waw
site: waw
platformUrl: http://127.0.0.1:7000
peers: {address: 127.0.0.1, port: 0}
operators: {address: 127.0.0.1, port: 0}
target: {kind: engine, url: 'http://127.0.0.1:9', service: drafts}
`,
);
writeFileSync(overlayPath, 'vm: engine-2\npeers: {port: 7001}\n');

afterAll(() => rmSync(dir, {recursive: true}));

const FAULTS = [
  {
    name: 'an agent without a target',
    overrides: ['target=null'],
    detail: '--set:1:1 target: expected the target of an agent, found nothing',
  },
  {
    name: 'an agent with callers',
    overrides: ['callers={address: 127.0.0.1, port: 1}'],
    detail:
      '--set:1:1 callers: expected no callers for an agent, found callers',
  },
  {
    name: 'an entry with a target and without callers',
    overrides: ['vm=x', 'role=entry'],
    detail: `${basePath}:8:1 target: expected no target for an entry, found target`,
  },
  {
    name: 'two listeners on one address',
    overrides: ['peers.port=7', 'operators.port=7'],
    detail:
      '--set:2:1 operators.port: expected an address other than that of peers, found 127.0.0.1:7',
  },
  {
    name: 'a host name as an address',
    overrides: ['peers.address=localhost'],
    detail:
      '--set:1:1 peers.address: expected an IP address, found "localhost"',
  },
  {
    name: 'fencing for a plain service',
    overrides: ['target.kind=service', 'target.checksFencing=true'],
    detail:
      '--set:2:1 target.checksFencing: expected false for a plain service, which accepts no commands, found true',
  },
  {
    name: 'an override without a value',
    overrides: ['peers.port'],
    detail: '--set:1:1: expected path=value, found "peers.port"',
  },
];

describe('loadDaemonSettings', () => {
  it('merges the base with the overlay and the overrides', () => {
    const settings = loadDaemonSettings({
      basePath,
      overlayPath,
      overrides: ['peers.port=7002', 'target.checksFencing=true'],
    })._unsafeUnwrap();
    expect(settings).toMatchObject({
      vm: 'engine-2',
      peers: {address: '127.0.0.1', port: 7002},
      target: {checksFencing: true},
    });
  });

  it.each(FAULTS)('reports $name', ({overrides, detail}) => {
    const loaded = loadDaemonSettings({basePath, overrides});
    expect(loaded._unsafeUnwrapErr().detail.split('\n')).toContain(detail);
  });

  it('reports a missing file', () => {
    const path = join(dir, 'absent.yaml');
    const loaded = loadDaemonSettings({basePath: path, overrides: []});
    const {kind} = loaded._unsafeUnwrapErr();
    expect(kind).toBe(SettingsErrorKind.UNREADABLE);
  });
});
