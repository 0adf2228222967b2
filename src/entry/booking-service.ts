/** Calls that may run at most once: claimed in the platform, then sent. */
import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';

import type {Claim} from '../core/booking/index.js';
import {CLAIM, claimNameOf} from '../core/booking/index.js';
import type {
  ObjectKey,
  ObjectStore,
  PlainResponse,
  StoredObject,
  StoreError,
} from '../core/edges/index.js';
import {ObjectKind, StoreErrorKind} from '../core/edges/index.js';
import type {Refusal} from '../core/errors/index.js';
import {Ran, RefusalReason} from '../core/errors/index.js';
import {askAgent, CallErrorKind} from './agent-call.js';
import {RETRY_AFTER_MS} from './consts.js';
import type {ResolvedPlain} from './plain-request.js';
import {createCall} from './plain-request.js';
import type {PlainParts} from './plain-service.js';

/** A claim that this entry holds. */
interface HeldClaim {
  readonly claim: Claim;
  readonly version: number;
}

/** Claims keys and sends each booking to the agent its claim names. */
export class BookingService {
  constructor(
    private readonly options: {
      parts: PlainParts;
      store: ObjectStore;
      incarnation: string;
    },
  ) {}

  call(request: ResolvedPlain): ResultAsync<PlainResponse, Refusal> {
    return new ResultAsync(this.book(request));
  }

  private async book(
    request: ResolvedPlain,
  ): Promise<Result<PlainResponse, Refusal>> {
    const held = await this.claim(request);
    if (held.isErr()) return err(held.error);
    return this.send(request, held.value.claim);
  }

  private async claim(
    request: ResolvedPlain,
  ): Promise<Result<HeldClaim, Refusal>> {
    const {links, chooser, dataCentre, random} = this.options.parts;
    const service = request.service.name;
    const target = chooser
      .choose({
        query: {service, exclude: [], dataCentre, prefix: ''},
        targets: links.views(),
      })
      .extract();
    if (target === undefined) return err(noTarget());
    const claim: Claim = {
      nonce: random.id(),
      fingerprint: request.fingerprint,
      agentVm: target.vm,
      agentIncarnation: target.incarnation,
      entryIncarnation: this.options.incarnation,
    };
    const key = keyOf(request);
    const created = await this.options.store.create({...key, value: claim});
    if (created.isOk()) {
      return ok({claim, version: created.value.version});
    }
    return this.settleClaim({request, claim, error: created.error});
  }

  /** Finds out by reading who holds the key. */
  private async settleClaim(options: {
    request: ResolvedPlain;
    claim: Claim;
    error: StoreError;
  }): Promise<Result<HeldClaim, Refusal>> {
    const {request, claim, error} = options;
    if (error.kind === StoreErrorKind.UNAVAILABLE) {
      return err(storeUnavailable(Ran.NO));
    }
    const read = await this.options.store.read(keyOf(request));
    if (read.isErr()) return err(storeUnavailable(Ran.UNKNOWN));
    const stored = read.value.extract();
    // The write that was in doubt may still be on its way.
    if (stored === undefined) return err(storeUnavailable(Ran.UNKNOWN));
    const decoded = CLAIM.decode(stored.value).toMaybe().extract();
    if (decoded === undefined) return err(claimUncertain());
    if (decoded.nonce === claim.nonce) {
      return ok({claim, version: stored.version});
    }
    if (decoded.fingerprint !== request.fingerprint) return err(keyReused());
    return this.takeOver(stored, decoded);
  }

  /** Becomes the entry that may send, to the same incarnation. */
  private async takeOver(
    stored: StoredObject,
    decoded: Claim,
  ): Promise<Result<HeldClaim, Refusal>> {
    const {incarnation, store, parts} = this.options;
    const nonce = parts.random.id();
    const claim = {...decoded, nonce, entryIncarnation: incarnation};
    const updated = await store.update({
      kind: stored.kind,
      name: stored.name,
      value: claim,
      expectedVersion: stored.version,
    });
    return updated
      .map(({version}) => ({claim, version}))
      .mapErr(() => claimUncertain());
  }

  private async send(
    request: ResolvedPlain,
    claim: Claim,
  ): Promise<Result<PlainResponse, Refusal>> {
    const {links, random, clock} = this.options.parts;
    const link = links.find(claim.agentVm);
    if (link === undefined) return err(outcomeUnknown());
    const timeoutMs = request.deadlineAtMs - clock.now();
    const message = createCall({
      request,
      callId: random.id(),
      key: request.req.idempotencyKey,
      incarnation: claim.agentIncarnation,
      deadlineMs: timeoutMs,
    });
    const answer = await askAgent({link, message, timeoutMs, clock});
    if (answer.isOk() && answer.value.response !== undefined) {
      return ok(answer.value.response);
    }
    const refused =
      answer.isErr() && answer.error.kind === CallErrorKind.REFUSED;
    return err((refused && answer.error.refusal) || outcomeUnknown());
  }
}

function keyOf(request: ResolvedPlain): ObjectKey {
  const clientAccount = request.clientAccount.name;
  const key = request.req.idempotencyKey;
  return {kind: ObjectKind.CLAIM, name: claimNameOf({clientAccount, key})};
}

function noTarget(): Refusal {
  const detail = 'no target of this service can be reached';
  return createRefusal(RefusalReason.NO_TARGET, Ran.NO, detail);
}

function storeUnavailable(ran: Ran): Refusal {
  const detail = 'the platform does not answer; no new booking starts';
  return createRefusal(RefusalReason.STORE_UNAVAILABLE, ran, detail);
}

function claimUncertain(): Refusal {
  const detail = 'another entry holds this key at the moment';
  return createRefusal(RefusalReason.CLAIM_UNCERTAIN, Ran.UNKNOWN, detail);
}

function keyReused(): Refusal {
  const detail = 'this key came with another request before';
  return createRefusal(RefusalReason.KEY_REUSED, Ran.NO, detail);
}

function outcomeUnknown(): Refusal {
  const detail = 'the target gave no whole answer';
  return createRefusal(RefusalReason.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail);
}

function createRefusal(
  reason: RefusalReason,
  ran: Ran,
  detail: string,
): Refusal {
  return {reason, ran, detail, retryAfterMs: RETRY_AFTER_MS};
}
