/** Rules that check values against each other. */
import type {Named, ObjectRule, RuleContext} from '../yaml-check/index.js';
import type {ClientAccountConfig, ServiceConfig} from './types.js';
import {ServiceKind} from './types.js';

/** A service without the name that is its key. */
export type ServiceBody = Omit<ServiceConfig, 'name'>;

/** A client account without the name that is its key. */
export type ClientAccountBody = Omit<ClientAccountConfig, 'name'>;

/**
 * Checks that models and idempotence are consistent with the kind of service.
 */
export const checkServiceKind: ObjectRule<ServiceBody> = (service, ctx) => {
  if (service.kind === ServiceKind.GENERATION) {
    checkGeneration(service, ctx);
  } else if (service.kind === ServiceKind.PLAIN) {
    checkPlain(service, ctx);
  }
};

function checkGeneration(
  service: Partial<ServiceBody>,
  ctx: RuleContext,
): void {
  if (service.idempotent === false) {
    ctx.report({
      path: ['idempotent'],
      expected: 'true, as generations are resumed elsewhere',
      found: 'false',
    });
  }
  if (service.models?.length === 0) {
    ctx.report({
      path: ['models'],
      expected: 'at least one model in a generation service',
      found: 'none',
    });
  }
}

function checkPlain(service: Partial<ServiceBody>, ctx: RuleContext): void {
  const count = service.models?.length ?? 0;
  if (count > 0) {
    ctx.report({
      path: ['models'],
      expected: 'no models in a plain service',
      found: `${count}`,
    });
  }
}

/** Checks that each model is listed once, by one service. */
export function checkModelsUnique(
  services: readonly Named<ServiceBody>[],
  ctx: RuleContext,
): void {
  const owners = new Map<string, string>();
  for (const service of services) {
    service.models.forEach((model, i) => {
      const owner = owners.get(model);
      if (owner !== undefined) {
        ctx.report({
          path: [service.name, 'models', i],
          expected: 'a model that no service serves yet',
          found: `"${model}", which ${owner} serves`,
        });
      }
      owners.set(model, owner ?? service.name);
    });
  }
}

/** Checks that each key belongs to one client account. */
export function checkKeysUnique(
  accounts: readonly Named<ClientAccountBody>[],
  ctx: RuleContext,
): void {
  const owners = new Map<string, string>();
  for (const {name, keySha256} of accounts) {
    const owner = owners.get(keySha256);
    if (owner !== undefined) {
      ctx.report({
        path: [name, 'keySha256'],
        expected: 'a key that no other client account has',
        found: `the key of ${owner}`,
      });
    }
    owners.set(keySha256, owner ?? name);
  }
}

/**
 * Checks that there is at least one item; a deployment without services could
 * not serve any request.
 */
export function checkNotEmpty(
  items: readonly object[],
  ctx: RuleContext,
): void {
  if (items.length === 0) {
    ctx.report({path: [], expected: 'at least one item', found: 'none'});
  }
}
