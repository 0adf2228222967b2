/** Behaviour of the simulated store, agents and service. */
import type {
  AgentId,
  AgentResult,
  BookingEffect,
  BookingState,
  Claim,
  FinishEffect,
  WriteResult,
} from '../../../../src/core/booking/index.js';
import {
  AgentResultKind,
  decideKeyQuery,
  decideVerdict,
  EffectKind,
  KeyAction,
  WriteOutcome,
} from '../../../../src/core/booking/index.js';
import {Executed} from '../../../../src/core/errors/index.js';
import {KeyPhase} from '../../../../src/core/protocol/index.js';
import type {
  Action,
  InFlight,
  ExecutionId,
  SimAgent,
  SimRequest,
  World,
} from './world.js';

export function createRequest(entry: number, state: BookingState): SimRequest {
  return {
    entry,
    state,
    isPastDeadline: false,
    hasDisconnected: false,
    execution: 0,
    executionsAtResponse: 0,
    writes: 0,
  };
}

/** Returns whether a caller that declared its key as new still waits. */
export function isAwaited(world: World, request: SimRequest): boolean {
  const isWaiting = request.verdict === undefined && !request.hasDisconnected;
  return (
    request.state.isFirstUse && isWaiting && world.entriesUp[request.entry]!
  );
}

/** Returns whether an effect is a claim write that is not a retry. */
export function isNewWrite(effect: BookingEffect | undefined): boolean {
  const isWrite =
    effect?.kind === EffectKind.CREATE || effect?.kind === EffectKind.SWAP;
  return isWrite && !effect.isRetry;
}

export function queryAgent(agent: SimAgent, incarnation: string): AgentResult {
  if (`i${agent.incarnation}` !== incarnation)
    return {kind: AgentResultKind.GONE};
  const {phase, fingerprint} = agent;
  const known = phase === undefined ? undefined : {phase, fingerprint};
  const action = decideKeyQuery({known, promiseNever: false, isFull: false});
  if (action === KeyAction.REPORT_UNSEEN) return {kind: AgentResultKind.UNSEEN};
  return phase === KeyPhase.RUNNING
    ? {kind: AgentResultKind.TIMEOUT}
    : resultOf(agent);
}

export function resultOf(agent: SimAgent): AgentResult {
  switch (agent.phase) {
    case KeyPhase.DONE: {
      const response = responseOf(agent.execution);
      return {kind: AgentResultKind.RESPONSE, response};
    }
    case KeyPhase.PROMISED_NEVER:
      return {kind: AgentResultKind.PROMISED_NEVER};
    default:
      return {kind: AgentResultKind.UNCERTAIN};
  }
}

export function responseOf(execution: number) {
  return {status: execution, headers: [], body: new Uint8Array()};
}

export function finishRequest(
  world: World,
  request: SimRequest,
  effect: FinishEffect,
): void {
  const {response, evidence} = effect;
  request.verdict =
    response === undefined ? decideVerdict(evidence!).ran : Executed.YES;
  request.evidence = evidence?.kind;
  request.execution = response?.status ?? 0;
  abandonInFlight(world, request);
  request.executionsAtResponse =
    world.executions[request.state.fingerprint] ?? 0;
}

export function applyWrite(world: World, effect: BookingEffect): WriteResult {
  if (!world.isStoreUp) return {outcome: WriteOutcome.NO_EFFECT};
  if (effect.kind === EffectKind.CREATE) {
    return world.claim === undefined
      ? putClaim(world, effect.claim)
      : {outcome: WriteOutcome.CONFLICT, stored: world.claim};
  }
  if (effect.kind !== EffectKind.SWAP) throw new Error('not a write');
  return world.claim?.version === effect.expected.version
    ? putClaim(world, effect.claim)
    : {outcome: WriteOutcome.CONFLICT, stored: world.claim};
}

export function putClaim(world: World, claim: Claim): WriteResult {
  world.claim = {claim, version: ++world.version};
  return {outcome: WriteOutcome.WRITTEN, stored: world.claim};
}

export function execute(world: World, fingerprint: string): number {
  const count = (world.executions[fingerprint] ?? 0) + 1;
  world.executions[fingerprint] = count;
  return count;
}

/** Sets the phase of the key at the agent that started an execution. */
export function endExecution(
  world: World,
  index: number,
  id: ExecutionId,
  phase: KeyPhase,
  execution: number,
): void {
  const agent = world.agents[index]!;
  const isSameIncarnation = agent.incarnation === id.incarnation;
  if (!isSameIncarnation || agent.phase !== KeyPhase.RUNNING) return;
  Object.assign(agent, {phase, execution});
}

export function restart(world: World, index: number): void {
  const {incarnation} = world.agents[index]!;
  world.agents[index] = {
    incarnation: incarnation + 1,
    takesWork: true,
    fingerprint: '',
    isRecorded: false,
    execution: 0,
  };
}

function killEntry(entry: number): (world: World) => void {
  // Messages that it has sent still arrive; it receives none.
  return (world) => {
    world.entriesUp[entry] = false;
  };
}

/** Removes the request from its items in flight once it has its response. */
function abandonInFlight(world: World, request: SimRequest): void {
  const index = world.requests.indexOf(request);
  world.inFlight = world.inFlight.flatMap((item): InFlight[] => {
    const isOfRequest = item.kind === 'request' || item.kind === 'reply';
    if (!isOfRequest || item.request !== index) return [item];
    if (item.kind === 'reply') return [];
    return toAbandoned(item.effect, request.state.fingerprint);
  });
}

function toAbandoned(effect: BookingEffect, fingerprint: string): InFlight[] {
  switch (effect.kind) {
    case EffectKind.CREATE:
    case EffectKind.SWAP:
      return [{kind: 'write', effect}];
    case EffectKind.CALL:
      return [{kind: 'call', effect, fingerprint}];
    default:
      return [];
  }
}

/** Returns faults of the store and of entries; interleavings have none. */
export function storeAndEntryFaults(world: World): Action[] {
  const toggleStore = (w: World): void => void (w.isStoreUp = !w.isStoreUp);
  const faults: Action[] = [{name: 'store up or down', run: toggleStore}];
  world.entriesUp.forEach((up, entry) => {
    if (up) faults.push({name: `kill entry ${entry}`, run: killEntry(entry)});
  });
  return faults;
}

/** Finds the first agent that takes work, except an incarnation. */
export function findTarget(
  world: World,
  excluded: string | undefined,
): AgentId | undefined {
  const vm = world.agents.findIndex(
    (agent) => agent.takesWork && `i${agent.incarnation}` !== excluded,
  );
  if (vm < 0) return undefined;
  return {vm: `${vm}`, incarnation: `i${world.agents[vm]!.incarnation}`};
}
