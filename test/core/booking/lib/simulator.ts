/**
 * Runs the decision code of two entries and their agents in a simulated world.
 * The schedule alone determines the order of actions.
 */
import type {
  AgentId,
  AgentResult,
  BookingEffect,
  BookingEvent,
  CallEffect,
  StepContext,
  WriteResult,
} from '../../../../src/core/booking/index.js';
import {
  AgentResultKind,
  createBooking,
  decideCall,
  EffectKind,
  EventKind,
  KeyAction,
  stepBooking,
  WriteOutcome,
} from '../../../../src/core/booking/index.js';
import {Executed} from '../../../../src/core/errors/index.js';
import {KeyPhase} from '../../../../src/core/protocol/index.js';
import {
  applyWrite,
  queryAgent,
  createRequest,
  execute,
  findTarget,
  finishRequest,
  isAwaited,
  isNewWrite,
  responseOf,
  restart,
  endExecution,
  resultOf,
} from './behaviour.js';
import type {Action, InFlight, SimAgent, World, WorldLimits} from './world.js';

/** The decision code under test; a test may replace it by faulty code. */
export interface Decisions {
  readonly stepBooking: typeof stepBooking;
  readonly decideCall: typeof decideCall;
}

export const REAL_DECISIONS: Decisions = {stepBooking, decideCall};

/** Removes an item from `inFlight`. */
type Remove = (world: World) => void;
/** Adds a possible action. */
type Add = (name: string, run: (world: World) => void) => void;

/** Runs the decision code in a simulated world. */
export class Simulator {
  constructor(
    private readonly limits: WorldLimits,
    private readonly decisions: Decisions = REAL_DECISIONS,
  ) {}

  /** Returns all possible next actions. */
  actions(world: World): Action[] {
    const actions: Action[] = [];
    const add = (name: string, run: (w: World) => void): void => {
      actions.push({name, run});
    };
    this.addStarts(world, add);
    actions.push(...this.arrivals(world));
    world.requests.forEach((request, i) => {
      if (request.verdict !== undefined || !world.entriesUp[request.entry])
        return;
      add(`abort ${i}`, (w) => this.step(w, i, {kind: EventKind.ABORT}));
      const isDeclaredNew =
        request.state.isFirstUse && !request.hasDisconnected;
      if (isDeclaredNew)
        add(`disconnect ${i}`, (w) => (w.requests[i]!.hasDisconnected = true));
      if (!request.isPastDeadline)
        add(
          `pass deadline ${i}`,
          (w) => (w.requests[i]!.isPastDeadline = true),
        );
    });
    world.agents.forEach((agent, i) => this.addAgent(agent, i, add));
    return actions;
  }

  /** Returns the actions that deliver, lose or delay an item in flight. */
  arrivals(world: World): Action[] {
    const actions: Action[] = [];
    world.inFlight.forEach((item, i) =>
      this.addItem(world, item, i, (name, run) => actions.push({name, run})),
    );
    return actions;
  }

  /** Delivers all items in flight, in order. */
  drain(world: World): void {
    const maxActions = 200;
    for (let i = 0; i < maxActions && world.inFlight.length > 0; i++) {
      const item = world.inFlight[0]!;
      const actions: Action[] = [];
      this.addItem(world, item, 0, (name, run) => actions.push({name, run}));
      actions[0]!.run(world);
    }
  }

  /** Applies an event to a request and starts the resulting effect. */
  step(world: World, index: number, event: BookingEvent): void {
    const request = world.requests[index]!;
    if (request.verdict !== undefined || !world.entriesUp[request.entry])
      return;
    const context = this.contextOf(world, index);
    const step = this.decisions.stepBooking(request.state, event, context);
    const writes = request.writes + (isNewWrite(step.effect) ? 1 : 0);
    const next = {...request, state: step.state, writes};
    world.requests[index] = next;
    if (step.effect === undefined) return;
    if (step.effect.kind === EffectKind.FINISH) {
      finishRequest(world, next, step.effect);
      return;
    }
    world.inFlight.push({
      kind: 'request',
      request: index,
      effect: step.effect,
    });
  }

  private contextOf(world: World, index: number): StepContext {
    const request = world.requests[index]!;
    const current = request.state.stored?.claim.agentIncarnation;
    const nonce = `r${index}w${request.writes}`;
    const target = findTarget(world, current);
    return {nonce, target, isPastDeadline: request.isPastDeadline, wallMs: 0};
  }

  private addStarts(world: World, add: Add): void {
    if (world.requests.length >= this.limits.requests) return;
    // A caller whose response was `no` does not use the key again.
    if (world.requests.some((request) => request.verdict === Executed.NO))
      return;
    // A caller that declares a key as new sends no second request before the
    // response.
    if (world.requests.some((request) => isAwaited(world, request))) return;
    const isFirst = world.requests.length === 0;
    world.entriesUp.forEach((up, entry) => {
      if (!up) return;
      for (const body of this.limits.bodies) {
        add(`start ${body} at ${entry}`, (w) =>
          this.start(w, entry, body, false),
        );
        if (!isFirst) continue;
        add(`start with new key ${body} at ${entry}`, (w) =>
          this.start(w, entry, body, true),
        );
      }
    });
  }

  private start(
    world: World,
    entry: number,
    fingerprint: string,
    isFirstUse: boolean,
  ): void {
    const entryIncarnation = `e${entry}`;
    const state = createBooking({fingerprint, entryIncarnation, isFirstUse});
    world.requests.push(createRequest(entry, state));
    this.step(world, world.requests.length - 1, {kind: EventKind.BEGIN});
  }

  private addAgent(agent: SimAgent, i: number, add: Add): void {
    if (agent.incarnation % 100 < this.limits.restarts) {
      add(`restart ${i}`, (w) => restart(w, i));
    }
    add(`toggle new work ${i}`, (w) => {
      w.agents[i]!.takesWork = !w.agents[i]!.takesWork;
    });
    const incarnation = `i${agent.incarnation}`;
    if (agent.phase !== KeyPhase.DONE || agent.isRecorded) return;
    add(`record ${i}`, (w) => {
      w.agents[i]!.isRecorded = true;
      w.recorded[incarnation] = w.agents[i]!.execution;
    });
  }

  private addItem(world: World, item: InFlight, i: number, add: Add): void {
    const remove = (w: World): void => void w.inFlight.splice(i, 1);
    switch (item.kind) {
      case 'write':
        add('late write arrives', (w) => {
          remove(w);
          applyWrite(w, item.effect);
        });
        return;
      case 'call':
        add('late call arrives', (w) => {
          remove(w);
          this.admit(w, item.effect, item.fingerprint);
        });
        return;
      case 'reply':
        this.addReply(world, item, add, remove);
        return;
      case 'service':
        this.addService(item, add, remove);
        return;
      case 'request':
        this.addRequest(item, add, remove);
    }
  }

  private addReply(
    world: World,
    item: Extract<InFlight, {kind: 'reply'}>,
    add: Add,
    remove: Remove,
  ): void {
    const {request, agent: index, incarnation} = item;
    const agent = world.agents[index]!;
    const hasEnded = agent.phase !== KeyPhase.RUNNING;
    const deliver = (w: World, result: AgentResult): void =>
      this.step(w, request, {kind: EventKind.AGENT, result});
    if (agent.incarnation === incarnation && hasEnded) {
      add('reply', (w) => {
        remove(w);
        deliver(w, resultOf(w.agents[index]!));
      });
    }
    add('reply lost', (w) => {
      remove(w);
      deliver(w, {kind: AgentResultKind.LOST});
    });
  }

  private addService(
    item: Extract<InFlight, {kind: 'service'}>,
    add: Add,
    remove: Remove,
  ): void {
    const {agent, id} = item;
    add('executes', (w) => {
      remove(w);
      const execution = execute(w, id.fingerprint);
      endExecution(w, agent, id, KeyPhase.DONE, execution);
    });
    add('executes, then disconnects', (w) => {
      remove(w);
      execute(w, id.fingerprint);
      endExecution(w, agent, id, KeyPhase.UNCERTAIN, 0);
    });
    add('disconnects', (w) => {
      remove(w);
      endExecution(w, agent, id, KeyPhase.UNCERTAIN, 0);
    });
    add('disconnects, then executes', (w) => {
      endExecution(w, agent, id, KeyPhase.UNCERTAIN, 0);
    });
    add('never reached', (w) => {
      remove(w);
      endExecution(w, agent, id, KeyPhase.PROMISED_NEVER, 0);
    });
  }

  private addRequest(
    item: Extract<InFlight, {kind: 'request'}>,
    add: Add,
    remove: Remove,
  ): void {
    const {effect, request: index} = item;
    switch (effect.kind) {
      case EffectKind.CREATE:
      case EffectKind.SWAP:
        this.addWrite(index, effect, add, remove);
        return;
      case EffectKind.CALL:
        this.addCall(index, effect, add, remove);
        return;
      case EffectKind.QUERY:
        this.addQuery(index, effect.agent, add, remove);
        return;
      case EffectKind.LOOK_UP: {
        const {agentIncarnation} = effect.claim;
        add('look up', (w) => {
          remove(w);
          const execution = w.isStoreUp ? w.recorded[agentIncarnation] : 0;
          this.step(w, index, {
            kind: EventKind.LOOK_UP,
            response: execution ? responseOf(execution) : undefined,
          });
        });
        return;
      }
      case EffectKind.FINISH:
    }
  }

  private addWrite(
    index: number,
    effect: BookingEffect,
    add: Add,
    remove: Remove,
  ): void {
    const deliver = (w: World, result: WriteResult): void =>
      this.step(w, index, {kind: EventKind.WRITE, result});
    const inDoubt = {outcome: WriteOutcome.IN_DOUBT};
    add('write', (w) => {
      remove(w);
      deliver(w, applyWrite(w, effect));
    });
    add('write, response lost', (w) => {
      remove(w);
      applyWrite(w, effect);
      deliver(w, inDoubt);
    });
    add('write lost', (w) => {
      remove(w);
      deliver(w, inDoubt);
    });
    add('write delayed', (w) => {
      remove(w);
      w.inFlight.push({kind: 'write', effect});
      deliver(w, inDoubt);
    });
  }

  private addCall(
    index: number,
    effect: CallEffect,
    add: Add,
    remove: Remove,
  ): void {
    const deliver = (w: World, result: AgentResult): void =>
      this.step(w, index, {kind: EventKind.AGENT, result});
    add('call', (w) => {
      const {fingerprint} = w.requests[index]!.state;
      const result = this.admit(w, effect, fingerprint);
      remove(w);
      if (result !== undefined) return deliver(w, result);
      const agent = Number(effect.agent.vm);
      const {incarnation} = w.agents[agent]!;
      w.inFlight.push({kind: 'reply', request: index, agent, incarnation});
    });
    add('call not sent', (w) => {
      remove(w);
      deliver(w, {kind: AgentResultKind.NOT_SENT});
    });
    add('call lost', (w) => {
      remove(w);
      deliver(w, {kind: AgentResultKind.LOST});
    });
    add('call delayed', (w) => {
      remove(w);
      const {fingerprint} = w.requests[index]!.state;
      w.inFlight.push({kind: 'call', effect, fingerprint});
      deliver(w, {kind: AgentResultKind.LOST});
    });
  }

  private addQuery(index: number, id: AgentId, add: Add, remove: Remove): void {
    const deliver = (w: World, result: AgentResult): void =>
      this.step(w, index, {kind: EventKind.AGENT, result});
    add('query', (w) => {
      remove(w);
      deliver(w, queryAgent(w.agents[Number(id.vm)]!, id.incarnation));
    });
    add('query not sent', (w) => {
      remove(w);
      deliver(w, {kind: AgentResultKind.NOT_SENT});
    });
  }

  /** Delivers a call to its agent; undefined while the first call runs. */
  private admit(
    w: World,
    {agent: agentId}: CallEffect,
    fingerprint: string,
  ): AgentResult | undefined {
    const i = Number(agentId.vm);
    const agent = w.agents[i]!;
    const {phase} = agent;
    const known =
      phase === undefined ? undefined : {phase, fingerprint: agent.fingerprint};
    const ownIncarnation = `i${agent.incarnation}`;
    const action = this.decisions.decideCall({
      known,
      fingerprint,
      incarnation: agentId.incarnation,
      ownIncarnation,
      takesWork: agent.takesWork,
      isFull: false,
    });
    switch (action) {
      case KeyAction.ADMIT:
        Object.assign(agent, {phase: KeyPhase.RUNNING, fingerprint});
        w.inFlight.push({
          kind: 'service',
          agent: i,
          id: {incarnation: agent.incarnation, fingerprint},
        });
        return undefined;
      case KeyAction.RETURN_FIRST_OUTCOME:
        return phase === KeyPhase.RUNNING ? undefined : resultOf(agent);
      case KeyAction.PROMISE_NEVER:
        Object.assign(agent, {phase: KeyPhase.PROMISED_NEVER, fingerprint});
        return {kind: AgentResultKind.PROMISED_NEVER};
      case KeyAction.REFUSE_OTHER_BODY:
        return {kind: AgentResultKind.OTHER_BODY};
      default:
        return {kind: AgentResultKind.NOT_ADMITTED};
    }
  }
}
