/** The schema of a process's settings. */
import {isIP} from 'node:net';

import type {ObjectRule, RuleContext} from '../yaml-check/index.js';
import {
  BooleanSchema,
  defaultField,
  EnumSchema,
  IntegerSchema,
  ObjectSchema,
  optionalField,
  requiredField,
  StringSchema,
} from '../yaml-check/index.js';
import {MAX_PORT} from './consts.js';
import type {DaemonSettings, ListenSettings, TargetSettings} from './types.js';
import {ProcessRole, TargetKind} from './types.js';

const LISTENERS = ['peers', 'operators', 'callers'] as const;

const HTTP_URL = new StringSchema({
  description: 'an http or https URL',
  accepts: (value) =>
    URL.canParse(value) && /^https?:$/.test(new URL(value).protocol),
});

const LISTEN = new ObjectSchema<ListenSettings>({
  fields: {
    address: requiredField(
      new StringSchema({
        description: 'an IP number',
        accepts: (value) => isIP(value) !== 0,
      }),
    ),
    port: requiredField(new IntegerSchema({min: 0, max: MAX_PORT})),
  },
});

const checkFencingKind: ObjectRule<TargetSettings> = (target, ctx) => {
  if (target.kind === TargetKind.SERVICE && target.checksFencing === true) {
    ctx.report({
      path: ['checksFencing'],
      expected: 'false beside a plain service, which takes no orders',
      found: 'true',
    });
  }
};

const TARGET = new ObjectSchema<TargetSettings>({
  fields: {
    kind: requiredField(new EnumSchema(TargetKind)),
    url: requiredField(HTTP_URL),
    service: requiredField(
      new StringSchema({description: 'the name of a service'}),
    ),
    checksFencing: defaultField(new BooleanSchema(), false),
  },
  rules: [checkFencingKind],
});

const checkRole: ObjectRule<DaemonSettings> = ({role}, ctx) => {
  if (role === ProcessRole.ENTRY) {
    checkPresent('callers', 'where callers connect to an entry', ctx);
    checkAbsent('target', 'no target of an entry', ctx);
  } else if (role === ProcessRole.AGENT) {
    checkPresent('target', 'the target beside an agent', ctx);
    checkAbsent('callers', 'no callers of an agent', ctx);
  }
};

function checkPresent(key: string, expected: string, ctx: RuleContext): void {
  if (!ctx.isPresent(key)) {
    ctx.report({path: [key], expected, found: 'nothing'});
  }
}

function checkAbsent(key: string, expected: string, ctx: RuleContext): void {
  if (ctx.isPresent(key)) {
    ctx.report({path: [key], expected, found: key});
  }
}

const checkListenersDistinct: ObjectRule<DaemonSettings> = (settings, ctx) => {
  const owners = new Map<string, string>();
  for (const name of LISTENERS) {
    const listen = settings[name];
    if (listen === undefined || listen.port === 0) {
      continue;
    }
    const address = `${listen.address}:${listen.port}`;
    const owner = owners.get(address);
    if (owner !== undefined) {
      ctx.report({
        path: [name, 'port'],
        expected: `another address than that of ${owner}`,
        found: address,
      });
    }
    owners.set(address, name);
  }
};

/** Checks merged settings. */
export const DAEMON_SETTINGS_SCHEMA = new ObjectSchema<DaemonSettings>({
  fields: {
    role: requiredField(new EnumSchema(ProcessRole)),
    vm: requiredField(new StringSchema({description: 'the name of the VM'})),
    dataCentre: requiredField(
      new StringSchema({description: 'the name of the data centre'}),
    ),
    site: requiredField(new StringSchema({description: 'the name of a site'})),
    platformUrl: requiredField(HTTP_URL),
    peers: requiredField(LISTEN),
    operators: requiredField(LISTEN),
    callers: optionalField(LISTEN),
    target: optionalField(TARGET),
  },
  rules: [checkRole, checkListenersDistinct],
});
