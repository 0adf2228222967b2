/** A small site on which tests lose engines, agents and entries. */
import {expectedOutput} from '../../stand-ins/engine/text.js';
import type {Ask, Transcript} from '../../tools/lab/caller.js';
import {createTranscript, readStream} from '../../tools/lab/caller.js';
import type {Daemon, StandIn} from '../../tools/lab/lab.js';
import {controlRelay, sendControl, waitUntil} from '../../tools/lab/lab.js';
import type {SiteOptions, Target} from '../../tools/lab/site.js';
import {Site} from '../../tools/lab/site.js';

/** How something is lost. */
export enum Fault {
  KILL = 'kill',
  FREEZE = 'freeze',
  CUT = 'cut',
}

/** What is lost. */
export enum Victim {
  ENGINE = 'engine',
  AGENT = 'agent',
  ENTRY = 'entry',
}

/** When it is lost, in the course of the answer. */
export enum Moment {
  START = 'start',
  MIDDLE = 'middle',
  LAST_TOKEN = 'last token',
  /** The caller has every token and no final event. */
  BEFORE_FINAL = 'before the final event',
}

/** Silence after which a caller turns to the next entry, in milliseconds. */
const CALLER_PATIENCE_MS = 1_500;

const MAX_TRIES = 20;

interface EntrySeat {
  readonly daemon: Daemon;
  /** Between the caller and the entry. */
  readonly relay: StandIn;
}

/** Undoes a fault. */
export type Repair = () => Promise<void>;

/** What a case loses, and when. */
export interface FaultCase {
  readonly fault: Fault;
  readonly victims: readonly Victim[];
  readonly moment: Moment;
}

/** The answer as the engine's own text gives it. */
export function expectedText(ask: Ask): string {
  const {prompt, maxTokens, stop = []} = ask;
  const {tokens} = expectedOutput({prompt, maxTokens, stop});
  return tokens.map((token) => token.text).join('');
}

/** Runs generations on a site and loses parts of it under them. */
export class FaultSite {
  private readonly seats: EntrySeat[] = [];
  private turn = 0;

  private constructor(readonly site: Site) {}

  static async create(options: SiteOptions = {}): Promise<FaultSite> {
    const {entries = 3, ...rest} = options;
    const site = await Site.create({
      engines: 3,
      engineFlags: {'pace-ms': 15},
      relays: true,
      ...rest,
      entries: 0,
    });
    const faultSite = new FaultSite(site);
    try {
      for (let i = 0; i < entries; i++) await faultSite.addEntry();
      await site.waitUntilUsable();
      return faultSite;
    } catch (cause) {
      await site.close();
      throw cause;
    }
  }

  close(): Promise<void> {
    return this.site.close();
  }

  /** Reads a whole answer and loses the victims of the case at its moment. */
  async run(options: {
    ask: Ask;
    faultCase: FaultCase;
    /** Position of the fault; by the moment where none is given. */
    breakAt?: number;
  }): Promise<Transcript> {
    const {ask, faultCase} = options;
    const {moment} = faultCase;
    const {breakAt = positionAt(moment, ask)} = options;
    const first = this.turn++;
    const repairs: Repair[] = [];
    let broken: Promise<void> | undefined;
    const breakNow = (found: () => Promise<Target>): void => {
      broken ??= found().then((target) =>
        this.breakAll({faultCase, first, target, repairs}),
      );
    };
    const transcript = await this.read({
      ask,
      first,
      cutAt: moment === Moment.BEFORE_FINAL ? ask.maxTokens : undefined,
      onStart: () => {
        if (moment === Moment.START) breakNow(() => this.awaitWorking());
      },
      onPiece: (t) => {
        if (positionOf(t) < breakAt) return;
        breakNow(() => this.targetOf(t));
      },
      onCut: () => broken,
    });
    await broken;
    for (const repair of repairs) await repair();
    await this.site.waitUntilUsable();
    return transcript;
  }

  /** Reads an answer to its end, at another entry after each break. */
  async read(options: {
    ask: Ask;
    first?: number;
    cutAt?: number;
    onStart?: () => void;
    onPiece?: (transcript: Transcript) => void;
    onCut?: () => Promise<void> | undefined;
  }): Promise<Transcript> {
    const {ask, first = this.turn++, cutAt, onStart, onCut} = options;
    let transcript = createTranscript();
    onStart?.();
    let cut = false;
    for (let i = 0; i < MAX_TRIES; i++) {
      const seat = this.seats[(first + i) % this.seats.length]!;
      const abort = new AbortController();
      const give = (): void => abort.abort();
      let timer = setTimeout(give, CALLER_PATIENCE_MS);
      const current = transcript;
      let kept: Transcript | undefined;
      await readStream({
        url: seat.relay.url,
        ask,
        transcript: current,
        signal: abort.signal,
        onPiece: (t) => {
          clearTimeout(timer);
          timer = setTimeout(give, CALLER_PATIENCE_MS);
          if (!cut && positionOf(t) === cutAt) {
            cut = true;
            kept = structuredClone(t);
            options.onPiece?.(t);
            abort.abort();
          }
          options.onPiece?.(t);
        },
      }).catch(() => undefined);
      clearTimeout(timer);
      if (kept !== undefined) {
        transcript = kept;
        await onCut?.();
        continue;
      }
      if (transcript.ends > 0 || transcript.errors.length > 0) break;
    }
    return transcript;
  }

  /** The target where an answer runs, as its last event says. */
  async targetOf(transcript: Transcript): Promise<Target> {
    const vm = transcript.lastEventId.split(':')[2];
    const known = this.site.engines.find((target) => target.vm === vm);
    return known ?? (await this.findWorking());
  }

  async addEntry(): Promise<void> {
    const daemon = await this.site.addEntry();
    const to = daemon.callersUrl.replace('http://', '');
    const relay = await this.site.lab.startStandIn({
      name: 'relay',
      flags: {to},
    });
    this.seats.push({daemon, relay});
  }

  private async breakAll(options: {
    faultCase: FaultCase;
    first: number;
    target: Target;
    repairs: Repair[];
  }): Promise<void> {
    const {faultCase, first, target, repairs} = options;
    const seat = this.seats[first % this.seats.length]!;
    for (const victim of faultCase.victims) {
      const repair =
        victim === Victim.ENTRY
          ? await this.breakEntry(seat, faultCase.fault)
          : await this.breakTarget(target, victim, faultCase.fault);
      repairs.push(repair);
    }
  }

  private async breakTarget(
    target: Target,
    victim: Victim,
    fault: Fault,
  ): Promise<Repair> {
    const isEngine = victim === Victim.ENGINE;
    const proc = isEngine ? target.standIn.proc : target.agent.proc;
    switch (fault) {
      case Fault.KILL:
        proc.kill();
        return () => this.replaceTarget(target);
      case Fault.FREEZE:
        proc.freeze();
        return () => Promise.resolve(proc.thaw());
      case Fault.CUT: {
        const relay = isEngine ? target.targetRelay! : target.agentRelay!;
        await controlRelay(relay, 'cut');
        return () => controlRelay(relay, 'mend');
      }
    }
  }

  private async breakEntry(seat: EntrySeat, fault: Fault): Promise<Repair> {
    const {proc} = seat.daemon;
    switch (fault) {
      case Fault.KILL:
        proc.kill();
        return () => this.replaceEntry(seat);
      case Fault.FREEZE:
        proc.freeze();
        return () => Promise.resolve(proc.thaw());
      case Fault.CUT:
        await controlRelay(seat.relay, 'cut');
        return () => controlRelay(seat.relay, 'mend');
    }
  }

  private async replaceTarget(target: Target): Promise<void> {
    target.agent.proc.kill();
    target.standIn.proc.kill();
    await target.agent.proc.exited;
    await this.site.addEngine();
  }

  private async replaceEntry(seat: EntrySeat): Promise<void> {
    await seat.daemon.proc.exited;
    this.seats.splice(this.seats.indexOf(seat), 1);
    await this.addEntry();
  }

  private async awaitWorking(): Promise<Target> {
    let found: Target | undefined;
    await waitUntil({
      what: 'an engine works',
      check: async () => {
        found = await this.findWorking();
        return true;
      },
    });
    return found!;
  }

  private async findWorking(): Promise<Target> {
    for (const target of this.site.engines) {
      if (!target.standIn.proc.isRunning) continue;
      const url = `${target.standIn.url}/counts`;
      const {started, finished, cancelled} = (await sendControl({url})) as {
        started: number;
        finished: number;
        cancelled: number;
      };
      if (started > finished + cancelled) return target;
    }
    throw new Error('no engine works');
  }
}

/** Tokens that a caller has, as its last event says. */
function positionOf(transcript: Transcript): number {
  return Number(transcript.lastEventId.split(':').at(-1));
}

function positionAt(moment: Moment, ask: Ask): number {
  switch (moment) {
    case Moment.START:
      return Number.POSITIVE_INFINITY;
    case Moment.MIDDLE:
      return Math.floor(ask.maxTokens / 2);
    case Moment.LAST_TOKEN:
      return ask.maxTokens - 1;
    case Moment.BEFORE_FINAL:
      return ask.maxTokens;
  }
}

/** Every fault at every moment, for one set of victims. */
export function createFaultCases(
  victims: readonly Victim[],
): ReadonlyArray<FaultCase & {name: string}> {
  return Object.values(Fault).flatMap((fault) =>
    Object.values(Moment).map((moment) => ({
      fault,
      victims,
      moment,
      name: `${fault} ${victims.join(' and ')} at ${moment}`,
    })),
  );
}

/** A request whose answer ends at `maxTokens`, inside a character or not. */
export function createAsk(name: string): Ask {
  const maxTokens = 24;
  const prompt = `${name}: zażółć [length=${maxTokens + 9}]`;
  return {prompt, maxTokens};
}
