/** Words with agents about one booking. */
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

/** Sends a booking and asks for it. */
export class BookingAgents {
  constructor(
    private readonly request: ResolvedPlain,
    private readonly parts: PlainCallDeps,
  ) {}

  /** The target that a new claim would name; never the VM `except`. */
  choose(except: string | undefined): AgentPlace | undefined {
    const {chooser, links, dataCentre} = this.parts;
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
    const {links, random, clock} = this.parts;
    const link = links.find(place.vm);
    if (link === undefined || !speaksAs(link, place)) {
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
    const answer = await callAgent({link, message, timeoutMs, clock});
    return answer.match((value) => wordOfAnswer(value, place), toResult);
  }

  async queryKey(options: {
    place: AgentPlace;
    timeoutMs: number;
  }): Promise<AgentResult> {
    const {place, timeoutMs} = options;
    const {links, random, clock} = this.parts;
    const link = links.find(place.vm);
    if (link === undefined) return {word: AgentWord.GONE};
    if (!link.isConnected()) return {word: AgentWord.NOT_SENT};
    if (!speaksAs(link, place)) return {word: AgentWord.GONE};
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
    const answer = await callAgent({link, message, timeoutMs, clock});
    return answer.match((value) => wordOfAnswer(value, place), toResult);
  }
}

function speaksAs(link: AgentLink, place: AgentPlace): boolean {
  return link.view().incarnation === place.incarnation;
}

function wordOfAnswer(answer: AgentCallResult, place: AgentPlace): AgentResult {
  const {response, keyPhase, incarnation} = answer;
  if (response !== undefined) return {word: AgentWord.RESPONSE, response};
  if (incarnation !== place.incarnation) return {word: AgentWord.GONE};
  return {word: PHASE_WORDS[keyPhase!]};
}

const PHASE_WORDS: Readonly<Record<KeyPhase, AgentWord>> = {
  [KeyPhase.UNSEEN]: AgentWord.UNSEEN,
  [KeyPhase.PROMISED_NEVER]: AgentWord.PROMISED_NEVER,
  [KeyPhase.RUNNING]: AgentWord.TIMEOUT,
  // The outcome comes as a response.
  [KeyPhase.DONE]: AgentWord.TIMEOUT,
  [KeyPhase.UNCERTAIN]: AgentWord.UNCERTAIN,
};

function toResult(error: CallError): AgentResult {
  switch (error.kind) {
    case CallErrorKind.NOT_SENT:
      return {word: AgentWord.NOT_SENT};
    case CallErrorKind.LOST:
      return {word: AgentWord.LOST};
    case CallErrorKind.TIMEOUT:
      return {word: AgentWord.TIMEOUT};
    case CallErrorKind.REFUSED:
      return {word: wordOfRefusal(error.refusal?.reason)};
  }
}

function wordOfRefusal(reason: RefusalReason | undefined): AgentWord {
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
