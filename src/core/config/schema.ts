/** Schema of a deployment's configuration at one site. */
import {
  BooleanSchema,
  defaultField,
  EnumSchema,
  IntegerSchema,
  ListSchema,
  NamedMapSchema,
  NumberSchema,
  ObjectSchema,
  requiredField,
  StringSchema,
} from '../yaml-check/index.js';
import {
  DEFAULT_DEADLINE_MS,
  DEFAULT_LIMITS,
  DEFAULT_RETRY_RATIO,
  DEFAULT_WEIGHT,
  MAX_BODY_BYTES,
  MAX_CONCURRENT,
  MAX_DEADLINE_MS,
  MAX_MAX_TOKENS,
  MAX_WEIGHT,
  MIN_DEADLINE_MS,
} from './consts.js';
import type {ClientAccountBody, ServiceBody} from './rules.js';
import {
  checkKeysUnique,
  checkModelsUnique,
  checkNotEmpty,
  checkServiceKind,
} from './rules.js';
import type {LimitsConfig, RecoveryConfig, SiteConfig} from './types.js';
import {PriorityClass, ServiceKind, RecoveryGoal} from './types.js';

const SHA256_HEX = /^[0-9a-f]{64}$/;

const RECOVERY = new ObjectSchema<RecoveryConfig>({
  fields: {weigh: requiredField(new EnumSchema(RecoveryGoal))},
});

const SERVICE = new ObjectSchema<ServiceBody>({
  fields: {
    kind: requiredField(new EnumSchema(ServiceKind)),
    models: defaultField(
      new ListSchema(new StringSchema({description: 'the name of a model'})),
      [],
    ),
    idempotent: requiredField(new BooleanSchema()),
    priorityClass: defaultField(
      new EnumSchema(PriorityClass),
      PriorityClass.NORMAL,
    ),
    deadlineMs: defaultField(
      new IntegerSchema({
        min: MIN_DEADLINE_MS,
        max: MAX_DEADLINE_MS,
        unit: 'milliseconds',
      }),
      DEFAULT_DEADLINE_MS,
    ),
    retryRatio: defaultField(
      new NumberSchema({min: 0, max: 1, unit: 'retries per first attempt'}),
      DEFAULT_RETRY_RATIO,
    ),
  },
  rules: [checkServiceKind],
});

const CLIENT_ACCOUNT = new ObjectSchema<ClientAccountBody>({
  fields: {
    keySha256: requiredField(
      new StringSchema({
        description: '64 lower-case hexadecimal digits',
        accepts: (value) => SHA256_HEX.test(value),
      }),
    ),
    weight: defaultField(
      new IntegerSchema({min: 1, max: MAX_WEIGHT}),
      DEFAULT_WEIGHT,
    ),
    maxConcurrent: requiredField(
      new IntegerSchema({min: 1, max: MAX_CONCURRENT, unit: 'requests'}),
    ),
  },
});

const LIMITS = new ObjectSchema<LimitsConfig>({
  fields: {
    bodyBytes: defaultField(
      new IntegerSchema({min: 1_024, max: MAX_BODY_BYTES, unit: 'bytes'}),
      DEFAULT_LIMITS.bodyBytes,
    ),
    bodyTimeoutMs: defaultField(
      new IntegerSchema({min: 100, max: 300_000, unit: 'milliseconds'}),
      DEFAULT_LIMITS.bodyTimeoutMs,
    ),
    maxTokens: defaultField(
      new IntegerSchema({min: 1, max: MAX_MAX_TOKENS, unit: 'tokens'}),
      DEFAULT_LIMITS.maxTokens,
    ),
    queueLength: defaultField(
      new IntegerSchema({min: 0, max: 100_000, unit: 'requests'}),
      DEFAULT_LIMITS.queueLength,
    ),
  },
});

/** Schema of a merged configuration. */
export const SITE_CONFIG_SCHEMA = new ObjectSchema<SiteConfig>({
  fields: {
    deployment: requiredField(
      new StringSchema({description: 'the name of the deployment'}),
    ),
    recovery: requiredField(RECOVERY),
    services: requiredField(
      new NamedMapSchema({
        item: SERVICE,
        rules: [checkNotEmpty, checkModelsUnique],
      }),
    ),
    clientAccounts: requiredField(
      new NamedMapSchema({item: CLIENT_ACCOUNT, rules: [checkKeysUnique]}),
    ),
    limits: defaultField<LimitsConfig>(LIMITS, DEFAULT_LIMITS),
  },
});
