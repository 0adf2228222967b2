/**
 * Runs the real decision code of two entries and their agents in a world. A
 * schedule picks what happens next; nothing else decides.
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
  askAgent,
  createRequest,
  execute,
  findTarget,
  finishRequest,
  isAwaited,
  isNewWrite,
  responseOf,
  restart,
  settleAgent,
  wordOf,
} from './behaviour.js';
import type {Action, Flight, SimAgent, World, WorldLimits} from './world.js';

/** The decision code under test; a test may plant a fault in it. */
export interface Decisions {
  readonly stepBooking: typeof stepBooking;
  readonly decideCall: typeof decideCall;
}

export const REAL_DECISIONS: Decisions = {stepBooking, decideCall};

type Take = (world: World) => void;
type Adder = (name: string, run: (world: World) => void) => void;

/** Runs decisions over a world. */
export class Simulator {
  constructor(
    private readonly limits: WorldLimits,
    private readonly decisions: Decisions = REAL_DECISIONS,
  ) {}

  /** All that can happen next. */
  actions(world: World): Action[] {
    const actions: Action[] = [];
    const add = (name: string, run: (w: World) => void): void => {
      actions.push({name, run});
    };
    this.addStarts(world, add);
    actions.push(...this.arrivals(world));
    world.requests.forEach((request, i) => {
      if (request.told !== undefined || !world.entriesUp[request.entry]) return;
      add(`give up ${i}`, (w) => this.step(w, i, {kind: EventKind.ABORT}));
      const vouches = request.state.firstUse && !request.hungUp;
      if (vouches) add(`hang up ${i}`, (w) => (w.requests[i]!.hungUp = true));
      if (!request.late) add(`late ${i}`, (w) => (w.requests[i]!.late = true));
    });
    world.agents.forEach((agent, i) => this.addAgent(agent, i, add));
    return actions;
  }

  /** All that is under way and can arrive, be lost or be delayed. */
  arrivals(world: World): Action[] {
    const actions: Action[] = [];
    world.flights.forEach((flight, i) =>
      this.addFlight(world, flight, i, (name, run) =>
        actions.push({name, run}),
      ),
    );
    return actions;
  }

  /** Lets all that is under way arrive, in order. */
  drain(world: World): void {
    const bound = 200;
    for (let i = 0; i < bound && world.flights.length > 0; i++) {
      const flight = world.flights[0]!;
      const actions: Action[] = [];
      this.addFlight(world, flight, 0, (name, run) =>
        actions.push({name, run}),
      );
      actions[0]!.run(world);
    }
  }

  /** Gives a request an event and carries its next effect off. */
  step(world: World, index: number, event: BookingEvent): void {
    const request = world.requests[index]!;
    if (request.told !== undefined || !world.entriesUp[request.entry]) return;
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
    world.flights.push({
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
    return {nonce, target, late: request.late, wallMs: 0};
  }

  private addStarts(world: World, add: Adder): void {
    if (world.requests.length >= this.limits.requests) return;
    // A caller that was told `no` does not ask again with the key.
    if (world.requests.some((request) => request.told === Executed.NO)) return;
    // One that vouches for a new key sends no other before it has an answer.
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
    firstUse: boolean,
  ): void {
    const entryIncarnation = `e${entry}`;
    const state = createBooking({fingerprint, entryIncarnation, firstUse});
    world.requests.push(createRequest(entry, state));
    this.step(world, world.requests.length - 1, {kind: EventKind.BEGIN});
  }

  private addAgent(agent: SimAgent, i: number, add: Adder): void {
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

  private addFlight(world: World, flight: Flight, i: number, add: Adder): void {
    const take = (w: World): void => void w.flights.splice(i, 1);
    switch (flight.at) {
      case 'write':
        add('late write arrives', (w) => {
          take(w);
          applyWrite(w, flight.effect);
        });
        return;
      case 'call':
        add('late call arrives', (w) => {
          take(w);
          this.admit(w, flight.effect, flight.fingerprint);
        });
        return;
      case 'reply':
        this.addReply(world, flight, add, take);
        return;
      case 'service':
        this.addService(flight, add, take);
        return;
      case 'request':
        this.addRequest(flight, add, take);
    }
  }

  private addReply(
    world: World,
    flight: Extract<Flight, {at: 'reply'}>,
    add: Adder,
    take: Take,
  ): void {
    const {request, agent: index, incarnation} = flight;
    const agent = world.agents[index]!;
    const settled = agent.phase !== KeyPhase.RUNNING;
    const answer = (w: World, result: AgentResult): void =>
      this.step(w, request, {kind: EventKind.AGENT, result});
    if (agent.incarnation === incarnation && settled) {
      add('reply', (w) => {
        take(w);
        answer(w, wordOf(w.agents[index]!));
      });
    }
    add('reply lost', (w) => {
      take(w);
      answer(w, {kind: AgentResultKind.LOST});
    });
  }

  private addService(
    flight: Extract<Flight, {at: 'service'}>,
    add: Adder,
    take: Take,
  ): void {
    const {agent, run} = flight;
    add('executes', (w) => {
      take(w);
      const execution = execute(w, run.fingerprint);
      settleAgent(w, agent, run, KeyPhase.DONE, execution);
    });
    add('executes, then breaks off', (w) => {
      take(w);
      execute(w, run.fingerprint);
      settleAgent(w, agent, run, KeyPhase.UNCERTAIN, 0);
    });
    add('breaks off', (w) => {
      take(w);
      settleAgent(w, agent, run, KeyPhase.UNCERTAIN, 0);
    });
    add('breaks off, then executes', (w) => {
      settleAgent(w, agent, run, KeyPhase.UNCERTAIN, 0);
    });
    add('never reached', (w) => {
      take(w);
      settleAgent(w, agent, run, KeyPhase.PROMISED_NEVER, 0);
    });
  }

  private addRequest(
    flight: Extract<Flight, {at: 'request'}>,
    add: Adder,
    take: Take,
  ): void {
    const {effect, request: index} = flight;
    switch (effect.kind) {
      case EffectKind.CREATE:
      case EffectKind.SWAP:
        this.addWrite(index, effect, add, take);
        return;
      case EffectKind.CALL:
        this.addCall(index, effect, add, take);
        return;
      case EffectKind.QUERY:
        this.addAsk(index, effect.agent, add, take);
        return;
      case EffectKind.LOOK_UP: {
        const {agentIncarnation} = effect.claim;
        add('look up', (w) => {
          take(w);
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
    add: Adder,
    take: Take,
  ): void {
    const answer = (w: World, result: WriteResult): void =>
      this.step(w, index, {kind: EventKind.WRITE, result});
    const doubt = {outcome: WriteOutcome.IN_DOUBT};
    add('write', (w) => {
      take(w);
      answer(w, applyWrite(w, effect));
    });
    add('write, answer lost', (w) => {
      take(w);
      applyWrite(w, effect);
      answer(w, doubt);
    });
    add('write lost', (w) => {
      take(w);
      answer(w, doubt);
    });
    add('write delayed', (w) => {
      take(w);
      w.flights.push({at: 'write', effect});
      answer(w, doubt);
    });
  }

  private addCall(
    index: number,
    effect: CallEffect,
    add: Adder,
    take: Take,
  ): void {
    const answer = (w: World, result: AgentResult): void =>
      this.step(w, index, {kind: EventKind.AGENT, result});
    add('call', (w) => {
      const {fingerprint} = w.requests[index]!.state;
      const word = this.admit(w, effect, fingerprint);
      take(w);
      if (word !== undefined) return answer(w, word);
      const agent = Number(effect.agent.vm);
      const {incarnation} = w.agents[agent]!;
      w.flights.push({at: 'reply', request: index, agent, incarnation});
    });
    add('call not sent', (w) => {
      take(w);
      answer(w, {kind: AgentResultKind.NOT_SENT});
    });
    add('call lost', (w) => {
      take(w);
      answer(w, {kind: AgentResultKind.LOST});
    });
    add('call delayed', (w) => {
      take(w);
      const {fingerprint} = w.requests[index]!.state;
      w.flights.push({at: 'call', effect, fingerprint});
      answer(w, {kind: AgentResultKind.LOST});
    });
  }

  private addAsk(index: number, place: AgentId, add: Adder, take: Take): void {
    const answer = (w: World, result: AgentResult): void =>
      this.step(w, index, {kind: EventKind.AGENT, result});
    add('ask', (w) => {
      take(w);
      answer(w, askAgent(w.agents[Number(place.vm)]!, place.incarnation));
    });
    add('ask not sent', (w) => {
      take(w);
      answer(w, {kind: AgentResultKind.NOT_SENT});
    });
  }

  /** A call arrives; undefined while the first one runs. */
  private admit(
    w: World,
    {agent: place}: CallEffect,
    fingerprint: string,
  ): AgentResult | undefined {
    const i = Number(place.vm);
    const agent = w.agents[i]!;
    const {phase} = agent;
    const known =
      phase === undefined ? undefined : {phase, fingerprint: agent.fingerprint};
    const ownIncarnation = `i${agent.incarnation}`;
    const action = this.decisions.decideCall({
      known,
      fingerprint,
      incarnation: place.incarnation,
      ownIncarnation,
      takesWork: agent.takesWork,
      isFull: false,
    });
    switch (action) {
      case KeyAction.ADMIT:
        Object.assign(agent, {phase: KeyPhase.RUNNING, fingerprint});
        w.flights.push({
          at: 'service',
          agent: i,
          run: {incarnation: agent.incarnation, fingerprint},
        });
        return undefined;
      case KeyAction.RETURN_FIRST_OUTCOME:
        return phase === KeyPhase.RUNNING ? undefined : wordOf(agent);
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
