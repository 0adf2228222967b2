/** Calls and key queries of one booking. */
import type {
  AgentPlace,
  AgentResult,
  CallEffect,
} from '../../core/booking/index.js';
import {AgentWord} from '../../core/booking/index.js';
import {RefusalReason} from '../../core/errors/index.js';
import {KeyPhase, MessageType} from '../../core/protocol/index.js';
import type {AgentCallResult, CallError} from './agent-call.js';
import {callAgent, CallErrorKind} from './agent-call.js';
import type {AgentLink} from '../links/agent-link.js';
import {KEY_QUERY_RESPONSE_MARGIN_MS} from '../consts.js';
import type {ResolvedPlain} from './plain-request.js';
import {createCall} from './plain-request.js';
import type {PlainCallDeps} from './plain-service.js';

/** Sends a booking to an agent, and queries the state of its key. */
export class BookingAgents {
  constructor(
    private readonly request: ResolvedPlain,
    private readonly deps: PlainCallDeps,
  ) {}

  /** Chooses the target of a new claim; never the VM `except`. */
  choose(except: string | undefined): AgentPlace | undefined {
    const {chooser, links, dataCentre} = this.deps;
    const service = this.request.service.name;
    const exclude = except === undefined ? [] : [except];
    const query = {service, exclude, dataCentre, prefix: ''};
    const target = chooser.choose({query, targets: links.views()}).extract();
    if (target === undefined) return undefined;
    return {vm: target.vm, incarnation: target.incarnation};
  }

  async call(options: {
    place: AgentPlace;
    claimedAtMs: CallEffect['claimedAtMs'];
    timeoutMs: number;
  }): Promise<AgentResult> {
    const {place, claimedAtMs, timeoutMs} = options;
    const {links, random, clock} = this.deps;
    const link = links.find(place.vm);
    if (link === undefined || !hasIncarnation(link, place)) {
      return {word: AgentWord.NOT_SENT};
    }
    const call = createCall({
      request: this.request,
      callId: random.id(),
      key: this.request.req.idempotencyKey,
      incarnation: place.incarnation,
      deadlineMs: timeoutMs,
    });
    const message = {...call, claimedAtMs};
    const result = await callAgent({link, message, timeoutMs, clock});
    return result.match((value) => toAgentResult(value, place), toErrorResult);
  }

  async queryKey(options: {
    place: AgentPlace;
    timeoutMs: number;
  }): Promise<AgentResult> {
    const {place, timeoutMs} = options;
    const {links, random, clock} = this.deps;
    const link = links.find(place.vm);
    if (link === undefined) return {word: AgentWord.GONE};
    if (!link.isConnected()) return {word: AgentWord.NOT_SENT};
    if (!hasIncarnation(link, place)) return {word: AgentWord.GONE};
    const waitMs = Math.max(0, timeoutMs - KEY_QUERY_RESPONSE_MARGIN_MS);
    const message = {
      type: MessageType.ASK_KEY as const,
      callId: random.id(),
      clientAccount: this.request.clientAccount.name,
      key: this.request.req.idempotencyKey,
      fingerprint: this.request.fingerprint,
      promiseNever: false,
      waitMs,
    };
    const result = await callAgent({link, message, timeoutMs, clock});
    return result.match((value) => toAgentResult(value, place), toErrorResult);
  }
}

function hasIncarnation(link: AgentLink, place: AgentPlace): boolean {
  return link.view().incarnation === place.incarnation;
}

function toAgentResult(
  result: AgentCallResult,
  place: AgentPlace,
): AgentResult {
  const {response, keyPhase, incarnation} = result;
  if (response !== undefined) return {word: AgentWord.RESPONSE, response};
  if (incarnation !== place.incarnation) return {word: AgentWord.GONE};
  return {word: PHASE_RESULTS[keyPhase!]};
}

const PHASE_RESULTS: Readonly<Record<KeyPhase, AgentWord>> = {
  [KeyPhase.UNSEEN]: AgentWord.UNSEEN,
  [KeyPhase.PROMISED_NEVER]: AgentWord.PROMISED_NEVER,
  [KeyPhase.RUNNING]: AgentWord.TIMEOUT,
  // The outcome of a key that is done arrives as a response instead.
  [KeyPhase.DONE]: AgentWord.TIMEOUT,
  [KeyPhase.UNCERTAIN]: AgentWord.UNCERTAIN,
};

function toErrorResult(error: CallError): AgentResult {
  switch (error.kind) {
    case CallErrorKind.NOT_SENT:
      return {word: AgentWord.NOT_SENT};
    case CallErrorKind.LOST:
      return {word: AgentWord.LOST};
    case CallErrorKind.TIMEOUT:
      return {word: AgentWord.TIMEOUT};
    case CallErrorKind.REFUSED:
      return {word: classifyRefusal(error.refusal?.reason)};
  }
}

function classifyRefusal(reason: RefusalReason | undefined): AgentWord {
  switch (reason) {
    case RefusalReason.CLAIM_VOIDED:
      return AgentWord.PROMISED_NEVER;
    case RefusalReason.KEY_REUSED:
      return AgentWord.OTHER_BODY;
    case RefusalReason.OUTCOME_UNKNOWN:
      return AgentWord.UNCERTAIN;
    default:
      return AgentWord.NOT_ADMITTED;
  }
}
