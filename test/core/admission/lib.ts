/** Simulates requests that arrive at an admission, on a manual clock. */
import {
  FairAdmission,
  TicketOutcome,
} from '../../../src/core/admission/index.js';
import type {AdmissionQuery} from '../../../src/core/admission/index.js';
import {ManualClock, SeededRandom} from '../../../src/core/clock/index.js';
import type {
  ClientAccountConfig,
  ServiceConfig,
} from '../../../src/core/config/index.js';
import {PriorityClass, ServiceKind} from '../../../src/core/config/index.js';
import type {Refusal} from '../../../src/core/errors/index.js';

/** Time between two resizes, as in the load controller, in milliseconds. */
export const TICK_MS = 100;

/** Resolution of the simulation, in milliseconds. */
export const STEP_MS = 10;

/** One simulated request and its result. */
export interface Arrival {
  readonly account: string;
  readonly weight: number;
  readonly atMs: number;
  readonly serviceMs: number;
  readonly deadlineMs: number;
  startedAtMs?: number;
  endedAtMs?: number;
  refusal?: Refusal;
  refusedAtMs?: number;
}

/** A client account with a limit that is never reached. */
export function accountOf(
  fields: Partial<ClientAccountConfig>,
): ClientAccountConfig {
  const keySha256 = '';
  const maxConcurrent = 100_000;
  return {name: 'a', keySha256, weight: 1, maxConcurrent, ...fields};
}

/** A generation service. */
export function serviceOf(fields: Partial<ServiceConfig> = {}): ServiceConfig {
  return {
    name: 'drafts',
    kind: ServiceKind.GENERATION,
    models: ['m'],
    idempotent: true,
    priorityClass: PriorityClass.NORMAL,
    deadlineMs: 60_000,
    retryRatio: 0.1,
    ...fields,
  };
}

/** A query for new work of ten tokens. */
export function queryOf(fields: Partial<AdmissionQuery> = {}): AdmissionQuery {
  return {
    clientAccount: accountOf({}),
    service: serviceOf(),
    deadlineAtMs: 60_000,
    maxTokens: 10,
    ...fields,
  };
}

/** Waits until pending promises are settled. */
export function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Simulates an admission with a fixed number of slots at one service. */
export class AdmissionSimulation {
  readonly clock = new ManualClock();
  readonly admission = new FairAdmission({
    clock: this.clock,
    random: new SeededRandom(1),
  });

  constructor(private readonly options: {slots: number}) {
    this.tick();
  }

  /** Simulates the arrivals; `check` is called after each step. */
  async play(options: {
    arrivals: readonly Arrival[];
    untilMs: number;
    check?: () => void;
  }): Promise<void> {
    const {arrivals, untilMs, check} = options;
    for (const arrival of arrivals) {
      const run = (): void => this.admit(arrival);
      this.clock.schedule({delayMs: arrival.atMs, run});
    }
    this.clock.repeat({periodMs: TICK_MS, run: () => this.tick()});
    while (this.clock.now() < untilMs) {
      this.clock.advance(STEP_MS);
      await flushPromises();
      check?.();
    }
  }

  private tick(): void {
    const {slots} = this.options;
    const service = 'drafts';
    const services = [{service, slots, resumeSlots: 0}];
    this.admission.resize({liveEntries: 1, services});
  }

  private admit(arrival: Arrival): void {
    const {account: name, weight} = arrival;
    const query = queryOf({
      clientAccount: accountOf({name, weight}),
      deadlineAtMs: arrival.atMs + arrival.deadlineMs,
    });
    void this.admission.admit(query).match(
      (ticket) => {
        arrival.startedAtMs = this.clock.now();
        const run = (): void => {
          arrival.endedAtMs = this.clock.now();
          ticket.release(TicketOutcome.SERVED);
        };
        this.clock.schedule({delayMs: arrival.serviceMs, run});
      },
      (refusal) => {
        arrival.refusal = refusal;
        arrival.refusedAtMs = this.clock.now();
      },
    );
  }
}

/** Creates arrivals of one account at an even rate. */
export function evenArrivals(options: {
  account: string;
  weight?: number;
  perSecond: number;
  seconds: number;
  serviceMs: number;
  deadlineMs: number;
}): Arrival[] {
  const {account, weight = 1, perSecond, seconds} = options;
  const {serviceMs, deadlineMs} = options;
  return Array.from({length: perSecond * seconds}, (_, i) => {
    const atMs = (i * 1_000) / perSecond;
    return {account, weight, atMs, serviceMs, deadlineMs};
  });
}

/** Requests that ended by their deadline. */
export function inTime(arrivals: readonly Arrival[]): Arrival[] {
  return arrivals.filter(
    ({endedAtMs, atMs, deadlineMs}) =>
      endedAtMs !== undefined && endedAtMs <= atMs + deadlineMs,
  );
}
