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
  settleAgent,
  resultOf,
} from './behaviour.js';
import type {Action, InFlight, SimAgent, World, WorldLimits} from './world.js';

/** The decision code under test; a test may plant a fault in it. */
export interface Decisions {
  readonly stepBooking: typeof stepBooking;
  readonly decideCall: typeof decideCall;
}

export const REAL_DECISIONS: Decisions = {stepBooking, decideCall};

/** Removes an item from `inFlight`. */
type Remove = (world: World) => void;
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
      if (request.reportedRan !== undefined || !world.entriesUp[request.entry])
        return;
      add(`abort ${i}`, (w) => this.step(w, i, {kind: EventKind.ABORT}));
      const declaresNewKey = request.state.isFirstUse && !request.hungUp;
      if (declaresNewKey)
        add(`hang up ${i}`, (w) => (w.requests[i]!.hungUp = true));
      if (!request.late) add(`late ${i}`, (w) => (w.requests[i]!.late = true));
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
    const bound = 200;
    for (let i = 0; i < bound && world.inFlight.length > 0; i++) {
      const item = world.inFlight[0]!;
      const actions: Action[] = [];
      this.addItem(world, item, 0, (name, run) => actions.push({name, run}));
      actions[0]!.run(world);
    }
  }

  /** Applies an event to a request and starts the resulting effect. */
  step(world: World, index: number, event: BookingEvent): void {
    const request = world.requests[index]!;
    if (request.reportedRan !== undefined || !world.entriesUp[request.entry])
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
      at: 'request',
      request: index,
      effect: step.effect,
    });
  }

  private contextOf(world: World, index: number): StepContext {
    const request = world.requests[index]!;
    const named = request.state.stored?.claim.agentIncarnation;
    const nonce = `r${index}w${request.writes}`;
    const target = findTarget(world, named);
    return {nonce, target, isPastDeadline: request.late, wallMs: 0};
  }

  private addStarts(world: World, add: Add): void {
    if (world.requests.length >= this.limits.requests) return;
    // A caller whose response was `no` does not use the key again.
    if (world.requests.some((request) => request.reportedRan === Executed.NO))
      return;
    // A caller that declares a key as new sends no second request before the
    // response.
    if (world.requests.some((request) => isAwaited(world, request))) return;
    const first = world.requests.length === 0;
    world.entriesUp.forEach((up, entry) => {
      if (!up) return;
      for (const body of this.limits.bodies) {
        add(`start ${body} at ${entry}`, (w) =>
          this.start(w, entry, body, false),
        );
        if (!first) continue;
        add(`start first ${body} at ${entry}`, (w) =>
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
    const state = createBooking({
      fingerprint,
      entryIncarnation,
      isFirstUse,
    });
    world.requests.push(createRequest(entry, state));
    this.step(world, world.requests.length - 1, {kind: EventKind.BEGIN});
  }

  private addAgent(agent: SimAgent, i: number, add: Add): void {
    if (agent.incarnation % 100 < this.limits.restarts) {
      add(`restart ${i}`, (w) => restart(w, i));
    }
    add(`takes work ${i}`, (w) => {
      w.agents[i]!.takesWork = !w.agents[i]!.takesWork;
    });
    const name = `i${agent.incarnation}`;
    if (agent.phase !== KeyPhase.DONE || agent.recorded) return;
    add(`record ${i}`, (w) => {
      w.agents[i]!.recorded = true;
      w.recorded[name] = w.agents[i]!.execution;
    });
  }

  private addItem(world: World, item: InFlight, i: number, add: Add): void {
    const remove = (w: World): void => void w.inFlight.splice(i, 1);
    switch (item.at) {
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
    item: Extract<InFlight, {at: 'reply'}>,
    add: Add,
    remove: Remove,
  ): void {
    const {request, agent: index, incarnation} = item;
    const agent = world.agents[index]!;
    const settled = agent.phase !== KeyPhase.RUNNING;
    const deliver = (w: World, result: AgentResult): void =>
      this.step(w, request, {kind: EventKind.AGENT, result});
    if (agent.incarnation === incarnation && settled) {
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
    item: Extract<InFlight, {at: 'service'}>,
    add: Add,
    remove: Remove,
  ): void {
    const {agent, run} = item;
    add('executes', (w) => {
      remove(w);
      const execution = execute(w, run.fingerprint);
      settleAgent(w, agent, run, KeyPhase.DONE, execution);
    });
    add('executes, then disconnects', (w) => {
      remove(w);
      execute(w, run.fingerprint);
      settleAgent(w, agent, run, KeyPhase.UNCERTAIN, 0);
    });
    add('disconnects', (w) => {
      remove(w);
      settleAgent(w, agent, run, KeyPhase.UNCERTAIN, 0);
    });
    add('disconnects, then executes', (w) => {
      settleAgent(w, agent, run, KeyPhase.UNCERTAIN, 0);
    });
    add('never reached', (w) => {
      remove(w);
      settleAgent(w, agent, run, KeyPhase.PROMISED_NEVER, 0);
    });
  }

  private addRequest(
    item: Extract<InFlight, {at: 'request'}>,
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
          const execution = w.storeUp ? w.recorded[agentIncarnation] : 0;
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
      w.inFlight.push({at: 'write', effect});
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
      w.inFlight.push({at: 'reply', request: index, agent, incarnation});
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
      w.inFlight.push({at: 'call', effect, fingerprint});
      deliver(w, {kind: AgentResultKind.LOST});
    });
  }

  private addQuery(index: number, id: AgentId, add: Add, remove: Remove): void {
    const deliver = (w: World, result: AgentResult): void =>
      this.step(w, index, {kind: EventKind.AGENT, result});
    add('ask', (w) => {
      remove(w);
      deliver(w, queryAgent(w.agents[Number(id.vm)]!, id.incarnation));
    });
    add('ask not sent', (w) => {
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
          at: 'service',
          agent: i,
          run: {incarnation: agent.incarnation, fingerprint},
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
