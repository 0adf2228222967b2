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
  RunId,
  SimAgent,
  SimRequest,
  World,
} from './world.js';

export function createRequest(entry: number, state: BookingState): SimRequest {
  return {
    entry,
    state,
    late: false,
    hungUp: false,
    execution: 0,
    ranWhenAnswered: 0,
    writes: 0,
  };
}

/** Whether a caller that declared its key as new still waits for the response. */
export function isAwaited(world: World, request: SimRequest): boolean {
  const waits = request.reportedRan === undefined && !request.hungUp;
  return request.state.isFirstUse && waits && world.entriesUp[request.entry]!;
}

export function isNewWrite(effect: BookingEffect | undefined): boolean {
  const writes =
    effect?.kind === EffectKind.CREATE || effect?.kind === EffectKind.SWAP;
  return writes && !effect.isRetry;
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
  request.reportedRan =
    response === undefined ? decideVerdict(evidence!).ran : Executed.YES;
  request.evidence = evidence?.kind;
  request.execution = response?.status ?? 0;
  abandonInFlight(world, request);
  request.ranWhenAnswered = world.executions[request.state.fingerprint] ?? 0;
}

export function applyWrite(world: World, effect: BookingEffect): WriteResult {
  if (!world.storeUp) return {outcome: WriteOutcome.NO_EFFECT};
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

export function settleAgent(
  world: World,
  index: number,
  run: RunId,
  phase: KeyPhase,
  execution: number,
): void {
  const agent = world.agents[index]!;
  const same = agent.incarnation === run.incarnation;
  if (!same || agent.phase !== KeyPhase.RUNNING) return;
  Object.assign(agent, {phase, execution});
}

export function restart(world: World, index: number): void {
  const {incarnation} = world.agents[index]!;
  world.agents[index] = {
    incarnation: incarnation + 1,
    takesWork: true,
    fingerprint: '',
    recorded: false,
    execution: 0,
  };
}

function killEntry(entry: number): (world: World) => void {
  // Messages that it has sent still arrive; it receives none.
  return (world) => {
    world.entriesUp[entry] = false;
  };
}

/** After the response, no request waits for what is still in flight. */
function abandonInFlight(world: World, request: SimRequest): void {
  const index = world.requests.indexOf(request);
  world.inFlight = world.inFlight.flatMap((item): InFlight[] => {
    const own = item.at === 'request' || item.at === 'reply';
    if (!own || item.request !== index) return [item];
    if (item.at === 'reply') return [];
    return toAbandoned(item.effect, request.state.fingerprint);
  });
}

function toAbandoned(effect: BookingEffect, fingerprint: string): InFlight[] {
  switch (effect.kind) {
    case EffectKind.CREATE:
    case EffectKind.SWAP:
      return [{at: 'write', effect}];
    case EffectKind.CALL:
      return [{at: 'call', effect, fingerprint}];
    default:
      return [];
  }
}

/** Faults of the store and of entries; the exhaustive run excludes them. */
export function outerFaults(world: World): Action[] {
  const turn = (w: World): void => void (w.storeUp = !w.storeUp);
  const faults: Action[] = [{name: 'store up or down', run: turn}];
  world.entriesUp.forEach((up, entry) => {
    if (up) faults.push({name: `kill entry ${entry}`, run: killEntry(entry)});
  });
  return faults;
}

/** Finds the first agent that takes work, except the named incarnation. */
export function findTarget(
  world: World,
  named: string | undefined,
): AgentId | undefined {
  const vm = world.agents.findIndex(
    (agent) => agent.takesWork && `i${agent.incarnation}` !== named,
  );
  if (vm < 0) return undefined;
  return {vm: `${vm}`, incarnation: `i${world.agents[vm]!.incarnation}`};
}
