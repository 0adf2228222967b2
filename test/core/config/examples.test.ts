import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

import {describe, expect, it} from 'vitest';

import {checkDeployment, RecoveryGoal} from '../../../src/core/config/index.js';
import {loadDaemonSettings} from '../../../src/core/settings/index.js';

const EXAMPLES = [
  {name: 'pumeks-worki', sites: 4, accounts: 10, weigh: RecoveryGoal.LATENCY},
  {
    name: 'cerclerie-kerandel',
    sites: 3,
    accounts: 10,
    weigh: RecoveryGoal.RESOURCES,
  },
  {name: 'quickstart', sites: 2, accounts: 1, weigh: RecoveryGoal.LATENCY},
];

function readSource(file: string): {file: string; text: string} {
  return {file, text: readFileSync(file, 'utf8')};
}

describe('examples', () => {
  it.each(EXAMPLES)(
    '$name has no problems',
    ({name, sites, accounts, weigh}) => {
      const dir = join('examples', name);
      const overlays = readdirSync(join(dir, 'overlays'));
      const checked = checkDeployment({
        baseFile: readSource(join(dir, 'base.yaml')),
        overlayFiles: overlays.map((f) => readSource(join(dir, 'overlays', f))),
      })._unsafeUnwrap();
      expect(checked.sites).toHaveLength(sites);
      for (const {config} of checked.sites) {
        expect(config.clientAccounts).toHaveLength(accounts);
        expect(config.recovery.weigh).toBe(weigh);
      }
    },
  );

  it.each(
    EXAMPLES.flatMap(({name}) => [
      {path: `examples/${name}/processes/entry.yaml`},
      {path: `examples/${name}/processes/agent.yaml`},
    ]),
  )('$path loads', ({path}) => {
    const loaded = loadDaemonSettings({basePath: path, overrides: []});
    expect(loaded.isOk()).toBe(true);
  });
});
