/** Schema of the settings of a process. */
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
import {
  MAX_CONNECTIONS,
  MAX_MEMORY_MB,
  MAX_PORT,
  MAX_UNREAD_TIMEOUT_MS,
} from './consts.js';
import type {DaemonSettings, ListenSettings, TargetSettings} from './types.js';
import {ProcessRole, TargetKind} from './types.js';

/** Settings that contain an address on which the process listens. */
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
        description: 'an IP address',
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
      expected: 'false for a plain service, which accepts no commands',
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
    checkPresent('callers', 'the address for callers of an entry', ctx);
    checkAbsent('target', 'no target for an entry', ctx);
  } else if (role === ProcessRole.AGENT) {
    checkPresent('target', 'the target of an agent', ctx);
    checkAbsent('callers', 'no callers for an agent', ctx);
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
        expected: `an address other than that of ${owner}`,
        found: address,
      });
    }
    owners.set(address, name);
  }
};

/** Schema of merged settings. */
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
    memoryMb: optionalField(new IntegerSchema({min: 1, max: MAX_MEMORY_MB})),
    maxConnections: optionalField(
      new IntegerSchema({min: 1, max: MAX_CONNECTIONS}),
    ),
    unreadTimeoutMs: optionalField(
      new IntegerSchema({min: 1, max: MAX_UNREAD_TIMEOUT_MS}),
    ),
  },
  rules: [checkRole, checkListenersDistinct],
});
