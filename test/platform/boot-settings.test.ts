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
  strict_revocation: true
  revoke_ms: 5000
  retry_budget_ratio: 0.8
  retry_slack: 150
platform: {address: "127.0.0.1:8742"}
`;

describe('boot settings', () => {
  it('turn into settings of our own; unknown fields are ignored', () => {
    const settings = parseBootSettings(FILE)._unsafeUnwrap();
    expect(settings).toMatchObject({
      vm: 'edge-a-1',
      dataCentre: 'a',
      callers: {host: '127.0.0.1', port: 8740},
      storeUrl: 'http://127.0.0.1:8742',
      shutdownGraceMs: 8_000,
      targetDrainMs: 3_000,
      keyRevocationMs: 5_000,
      retryBudget: {ratio: 0.8, windowMs: 10_000, slack: 150},
    });
  });

  it('bound no keys where they are never taken away at once', () => {
    const text = FILE.replace('strict_revocation: true', '');
    expect(
      parseBootSettings(text)._unsafeUnwrap().keyRevocationMs,
    ).toBeUndefined();
  });

  it.each([
    {name: 'a missing field', text: FILE.replace(/zone.*/, ''), tells: 'zone'},
    {
      name: 'a number that is none',
      text: FILE.replace('grace_s: 8', 'grace_s: long'),
      tells: 'grace_s',
    },
    {name: 'text that is no YAML', text: 'a: [', tells: 'line'},
    {name: 'an empty file', text: '', tells: 'object'},
  ])('say in one line what is wrong: $name', ({text, tells}) => {
    const error = parseBootSettings(text)._unsafeUnwrapErr();
    expect(error).toContain(tells);
    expect(error).not.toContain('\n');
  });

  it('name a file that is not there', () => {
    const error = loadBootSettings('/nowhere/boot.yaml')._unsafeUnwrapErr();
    expect(error).toContain('/nowhere/boot.yaml');
  });
});
