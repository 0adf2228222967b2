/** Sends the calls and key queries of one booking to agents. */
import type {
  AgentId,
  AgentResult,
  CallEffect,
} from '../../core/booking/index.js';
import {AgentResultKind} from '../../core/booking/index.js';
import {RefusalReason} from '../../core/errors/index.js';
import {KeyPhase, MessageType} from '../../core/protocol/index.js';
import type {AgentCallResult, CallError} from './agent-call.js';
import {callAgent, CallErrorKind} from './agent-call.js';
import type {AgentLink} from '../links/agent-link.js';
import {KEY_QUERY_RESPONSE_MARGIN_MS} from '../consts.js';
import {LimitRefusals} from './limit-refusals.js';
import type {ResolvedPlain} from './plain-request.js';
import {createCall} from './plain-request.js';
import type {PlainCallDeps} from './plain-service.js';

/** Chooses the agent of a booking, calls it and queries the booking's key. */
export class BookingAgents {
  /** Refusals of agents whose targets' limits are used up. */
  readonly limits = new LimitRefusals();

  constructor(
    private readonly request: ResolvedPlain,
    private readonly deps: PlainCallDeps,
  ) {}

  /**
   * Chooses the target of a new claim; never on the VM `except`. Returns
   * undefined if no target is usable.
   */
  choose(except: string | undefined): AgentId | undefined {
    const {chooser, links, dataCentre} = this.deps;
    const service = this.request.service.name;
    const exclude = [...this.limits.vms];
    if (except !== undefined) exclude.push(except);
    const query = {service, exclude, dataCentre, prefix: ''};
    const target = chooser.choose({query, targets: links.views()}).extract();
    if (target === undefined) return undefined;
    return {vm: target.vm, incarnation: target.incarnation};
  }

  /** Sends the call if the agent's incarnation is still the claimed one. */
  async call(options: {
    agent: AgentId;
    claimedAtMs: CallEffect['claimedAtMs'];
    timeoutMs: number;
  }): Promise<AgentResult> {
    const {agent, claimedAtMs, timeoutMs} = options;
    const {links, random, clock, supervisor} = this.deps;
    const link = links.find(agent.vm);
    if (link === undefined || !hasIncarnation(link, agent)) {
      return {kind: AgentResultKind.NOT_SENT};
    }
    const call = createCall({
      request: this.request,
      callId: random.id(),
      key: this.request.req.idempotencyKey,
      incarnation: agent.incarnation,
      deadlineMs: timeoutMs,
    });
    const message = {...call, claimedAtMs};
    const result = await callAgent({
      link,
      message,
      timeoutMs,
      clock,
      supervisor,
    });
    const refusal = result.isErr() ? result.error.refusal : undefined;
    if (refusal?.reason === RefusalReason.TARGET_LIMIT)
      this.limits.add(agent.vm, refusal);
    return result.match((value) => toAgentResult(value, agent), toErrorResult);
  }

  /** Queries the state of the key; GONE if the incarnation has ended. */
  async queryKey(options: {
    agent: AgentId;
    timeoutMs: number;
  }): Promise<AgentResult> {
    const {agent, timeoutMs} = options;
    const {links, random, clock, supervisor} = this.deps;
    const link = links.find(agent.vm);
    if (link === undefined) return {kind: AgentResultKind.GONE};
    if (!link.isConnected()) return {kind: AgentResultKind.NOT_SENT};
    if (!hasIncarnation(link, agent)) return {kind: AgentResultKind.GONE};
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
    const result = await callAgent({
      link,
      message,
      timeoutMs,
      clock,
      supervisor,
    });
    return result.match((value) => toAgentResult(value, agent), toErrorResult);
  }
}

function hasIncarnation(link: AgentLink, agent: AgentId): boolean {
  return link.view().incarnation === agent.incarnation;
}

function toAgentResult(result: AgentCallResult, agent: AgentId): AgentResult {
  const {response, keyPhase, incarnation} = result;
  if (response !== undefined) return {kind: AgentResultKind.RESPONSE, response};
  if (incarnation !== agent.incarnation) return {kind: AgentResultKind.GONE};
  return {kind: PHASE_RESULTS[keyPhase!]};
}

const PHASE_RESULTS: Readonly<Record<KeyPhase, AgentResultKind>> = {
  [KeyPhase.UNSEEN]: AgentResultKind.UNSEEN,
  [KeyPhase.PROMISED_NEVER]: AgentResultKind.PROMISED_NEVER,
  [KeyPhase.RUNNING]: AgentResultKind.TIMEOUT,
  // The outcome of a key that is done arrives as a response instead.
  [KeyPhase.DONE]: AgentResultKind.TIMEOUT,
  [KeyPhase.UNCERTAIN]: AgentResultKind.UNCERTAIN,
};

function toErrorResult(error: CallError): AgentResult {
  switch (error.kind) {
    case CallErrorKind.NOT_SENT:
      return {kind: AgentResultKind.NOT_SENT};
    case CallErrorKind.LOST:
      return {kind: AgentResultKind.LOST};
    case CallErrorKind.TIMEOUT:
      return {kind: AgentResultKind.TIMEOUT};
    case CallErrorKind.REFUSED:
      return {kind: classifyRefusal(error.refusal?.reason)};
  }
}

function classifyRefusal(reason: RefusalReason | undefined): AgentResultKind {
  switch (reason) {
    case RefusalReason.CLAIM_VOIDED:
      return AgentResultKind.PROMISED_NEVER;
    case RefusalReason.KEY_REUSED:
      return AgentResultKind.OTHER_BODY;
    case RefusalReason.OUTCOME_UNKNOWN:
      return AgentResultKind.UNCERTAIN;
    default:
      return AgentResultKind.NOT_ADMITTED;
  }
}
