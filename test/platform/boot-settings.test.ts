import {describe, expect, it} from 'vitest';

import {
  loadBootSettings,
  parseBootSettings,
} from '../../platform/boot-settings.js';

const FILE = `
node_name: "edge-a-1"
ip: "127.0.0.1"
zone: "a"
unheard_of: {x: 1}
listen:
  frontend: "127.0.0.1:8740"
  readiness: "127.0.0.1:8749"
limits: {memory_mb: 200, max_fds: 4100}
bounds:
  grace_s: 8
  drain_ms: 3000
  config_apply_ms: 4000
  strict_revocation: true
  revoke_ms: 5000
  retry_budget_ratio: 0.8
  retry_slack: 150
port_range: [7200, 7215]
platform: {address: "127.0.0.1:8742"}
`;

describe('boot settings', () => {
  it('are decoded into direct settings; unknown fields are ignored', () => {
    const settings = parseBootSettings(FILE)._unsafeUnwrap();
    expect(settings).toMatchObject({
      vm: 'edge-a-1',
      dataCentre: 'a',
      callers: {host: '127.0.0.1', port: 8740},
      storeUrl: 'http://127.0.0.1:8742',
      peerPort: 7_200,
      shutdownGraceMs: 8_000,
      configApplyMs: 4_000,
      targetDrainMs: 3_000,
      keyRevocationMs: 5_000,
      retryBudget: {ratio: 0.8, windowMs: 10_000, slack: 150},
    });
  });

  it('have no port for other entries without a range of ports', () => {
    const text = FILE.replace(/port_range.*\n/, '');
    expect(parseBootSettings(text)._unsafeUnwrap().peerPort).toBeUndefined();
  });

  it('have no revocation bound without strict revocation', () => {
    const text = FILE.replace('strict_revocation: true', '');
    expect(
      parseBootSettings(text)._unsafeUnwrap().keyRevocationMs,
    ).toBeUndefined();
  });

  it.each([
    {
      name: 'a missing field',
      text: FILE.replace(/zone.*/, ''),
      expectedText: 'zone',
    },
    {
      name: 'text in place of a number',
      text: FILE.replace('grace_s: 8', 'grace_s: long'),
      expectedText: 'grace_s',
    },
    {
      name: 'a port out of range',
      text: FILE.replace('8740', '70000'),
      expectedText: '127.0.0.1:70000',
    },
    {
      name: 'a port that is no number',
      text: FILE.replace('8749', 'http'),
      expectedText: '127.0.0.1:http',
    },
    {
      name: 'a host name',
      text: FILE.replace('127.0.0.1:8740', 'localhost:8740'),
      expectedText: 'localhost:8740',
    },
    {
      name: 'a store without a port',
      text: FILE.replace('127.0.0.1:8742', 'store'),
      expectedText: 'IP:PORT',
    },
    {
      name: 'a VM without an address',
      text: FILE.replace('ip: "127.0.0.1"', 'ip: ""'),
      expectedText: 'IP address',
    },
    {
      name: 'a port for other entries that is out of range',
      text: FILE.replace('7200', '70000'),
      expectedText: 'port_range',
    },
    {name: 'invalid YAML', text: 'a: [', expectedText: 'line'},
    {name: 'an empty file', text: '', expectedText: 'object'},
  ])('report $name on a single line', ({text, expectedText}) => {
    const error = parseBootSettings(text)._unsafeUnwrapErr();
    expect(error).toContain(expectedText);
    expect(error).not.toContain('\n');
  });

  it('report the path of a missing file', () => {
    const error = loadBootSettings('/nowhere/boot.yaml')._unsafeUnwrapErr();
    expect(error).toContain('/nowhere/boot.yaml');
  });
});
