/** A small site with faults of engines, agents and entries. */
import {expectedOutput} from '../../stand-ins/engine/text.js';
import type {CompletionRequest, Transcript} from '../../tools/lab/caller.js';
import {createTranscript, readStream} from '../../tools/lab/caller.js';
import type {Daemon, StandIn} from '../../tools/lab/lab.js';
import {controlRelay, sendControl, waitUntil} from '../../tools/lab/lab.js';
import type {SiteOptions, Target} from '../../tools/lab/site.js';
import {Site} from '../../tools/lab/site.js';

/** How a component fails. */
export enum Fault {
  KILL = 'kill',
  /** Receives SIGSTOP, and SIGCONT after the test case. */
  PAUSE = 'freeze',
  /** Its relay stops forwarding data; connections stay open. */
  DISCONNECT = 'cut',
}

/** The component that fails. */
export enum Component {
  ENGINE = 'engine',
  AGENT = 'agent',
  ENTRY = 'entry',
}

/** Stage of the generation at which the fault is injected. */
export enum FaultStage {
  START = 'start',
  MIDDLE = 'middle',
  LAST_TOKEN = 'last token',
  /** The caller has received every token but no final event. */
  BEFORE_FINAL_EVENT = 'before the final event',
}

/** Idle time before a caller switches to the next entry, in milliseconds. */
const CALLER_IDLE_TIMEOUT_MS = 1_500;

const MAX_ATTEMPTS = 20;

interface RelayedEntry {
  readonly daemon: Daemon;
  /** Forwards the callers' connections to the entry. */
  readonly relay: StandIn;
}

/** Ends a fault: resumes, reconnects or replaces the component. */
export type Undo = () => Promise<void>;

/** Which components of a test case fail, how and when. */
export interface FaultCase {
  readonly fault: Fault;
  readonly components: readonly Component[];
  readonly stage: FaultStage;
}

/** The complete text that an engine generates for a request. */
export function expectedTextOf(req: CompletionRequest): string {
  const {prompt, maxTokens, stop = []} = req;
  const {tokens} = expectedOutput({prompt, maxTokens, stop});
  return tokens.map((token) => token.text).join('');
}

/** Runs generations on a site and injects faults while they run. */
export class FaultSite {
  private readonly entries: RelayedEntry[] = [];
  private nextEntryIndex = 0;

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

  /** Reads a whole generation and injects the case's fault at its stage. */
  async runWithFault(options: {
    req: CompletionRequest;
    faultCase: FaultCase;
    /** Tokens received before the fault; by default set by the stage. */
    faultPosition?: number;
  }): Promise<Transcript> {
    const {req, faultCase} = options;
    const {stage} = faultCase;
    const {faultPosition = positionOfStage(stage, req)} = options;
    const firstIndex = this.nextEntryIndex++;
    const undos: Undo[] = [];
    let injection: Promise<void> | undefined;
    const injectOnce = (findTarget: () => Promise<Target>): void => {
      injection ??= findTarget().then((target) =>
        this.injectFault({faultCase, firstIndex, target, undos}),
      );
    };
    const transcript = await this.readGeneration({
      req,
      firstIndex,
      disconnectAt:
        stage === FaultStage.BEFORE_FINAL_EVENT ? req.maxTokens : undefined,
      onStart: () => {
        if (stage === FaultStage.START)
          injectOnce(() => this.waitForBusyEngine());
      },
      onChunk: (t) => {
        if (positionOf(t) < faultPosition) return;
        injectOnce(() => this.targetOf(t));
      },
      onDisconnect: () => injection,
    });
    await injection;
    for (const undo of undos) await undo();
    await this.site.waitUntilUsable();
    return transcript;
  }

  /**
   * Reads a generation to its end. After each broken connection the caller
   * resumes at the next entry.
   */
  async readGeneration(options: {
    req: CompletionRequest;
    /** Index of the first entry to call; by default the next in turn. */
    firstIndex?: number;
    /** Number of received tokens at which the caller disconnects once. */
    disconnectAt?: number;
    onStart?: () => void;
    onChunk?: (transcript: Transcript) => void;
    /** Awaited before the caller reconnects. */
    onDisconnect?: () => Promise<void> | undefined;
  }): Promise<Transcript> {
    const {
      req,
      firstIndex = this.nextEntryIndex++,
      disconnectAt,
      onStart,
      onDisconnect,
    } = options;
    let transcript = createTranscript();
    onStart?.();
    let hasDisconnected = false;
    for (let i = 0; i < MAX_ATTEMPTS; i++) {
      const entry = this.entries[(firstIndex + i) % this.entries.length]!;
      const abort = new AbortController();
      const abortRead = (): void => abort.abort();
      let timer = setTimeout(abortRead, CALLER_IDLE_TIMEOUT_MS);
      const current = transcript;
      let snapshot: Transcript | undefined;
      await readStream({
        url: entry.relay.url,
        req,
        transcript: current,
        signal: abort.signal,
        onChunk: (t) => {
          clearTimeout(timer);
          timer = setTimeout(abortRead, CALLER_IDLE_TIMEOUT_MS);
          if (!hasDisconnected && positionOf(t) === disconnectAt) {
            hasDisconnected = true;
            snapshot = structuredClone(t);
            options.onChunk?.(t);
            abort.abort();
          }
          options.onChunk?.(t);
        },
      }).catch(() => undefined);
      clearTimeout(timer);
      if (snapshot !== undefined) {
        // Discards events that arrived after the caller disconnected.
        transcript = snapshot;
        await onDisconnect?.();
        continue;
      }
      if (transcript.doneEvents > 0 || transcript.errors.length > 0) break;
    }
    return transcript;
  }

  /** The target that runs a generation, according to its last event id. */
  async targetOf(transcript: Transcript): Promise<Target> {
    const vm = transcript.lastEventId.split(':')[2];
    const known = this.site.engines.find((target) => target.vm === vm);
    return known ?? (await this.findBusyEngine());
  }

  async addEntry(): Promise<void> {
    const daemon = await this.site.addEntry();
    const to = daemon.callersUrl.replace('http://', '');
    const relay = await this.site.harness.startStandIn({
      name: 'relay',
      flags: {to},
    });
    this.entries.push({daemon, relay});
  }

  private async injectFault(options: {
    faultCase: FaultCase;
    firstIndex: number;
    target: Target;
    undos: Undo[];
  }): Promise<void> {
    const {faultCase, firstIndex, target, undos} = options;
    const entry = this.entries[firstIndex % this.entries.length]!;
    for (const component of faultCase.components) {
      const undo =
        component === Component.ENTRY
          ? await this.injectEntryFault(entry, faultCase.fault)
          : await this.injectTargetFault(target, component, faultCase.fault);
      undos.push(undo);
    }
  }

  private async injectTargetFault(
    target: Target,
    component: Component,
    fault: Fault,
  ): Promise<Undo> {
    const isEngine = component === Component.ENGINE;
    const proc = isEngine ? target.standIn.proc : target.agent.proc;
    switch (fault) {
      case Fault.KILL:
        proc.kill();
        return () => this.replaceTarget(target);
      case Fault.PAUSE:
        proc.pause();
        return () => Promise.resolve(proc.resume());
      case Fault.DISCONNECT: {
        const relay = isEngine ? target.targetRelay! : target.agentRelay!;
        await controlRelay(relay, 'cut');
        return () => controlRelay(relay, 'mend');
      }
    }
  }

  private async injectEntryFault(
    entry: RelayedEntry,
    fault: Fault,
  ): Promise<Undo> {
    const {proc} = entry.daemon;
    switch (fault) {
      case Fault.KILL:
        proc.kill();
        return () => this.replaceEntry(entry);
      case Fault.PAUSE:
        proc.pause();
        return () => Promise.resolve(proc.resume());
      case Fault.DISCONNECT:
        await controlRelay(entry.relay, 'cut');
        return () => controlRelay(entry.relay, 'mend');
    }
  }

  private async replaceTarget(target: Target): Promise<void> {
    target.agent.proc.kill();
    target.standIn.proc.kill();
    await target.agent.proc.exited;
    await this.site.addEngine();
  }

  private async replaceEntry(entry: RelayedEntry): Promise<void> {
    await entry.daemon.proc.exited;
    this.entries.splice(this.entries.indexOf(entry), 1);
    await this.addEntry();
  }

  private async waitForBusyEngine(): Promise<Target> {
    let found: Target | undefined;
    await waitUntil({
      what: 'an engine is generating',
      check: async () => {
        found = await this.findBusyEngine();
        return true;
      },
    });
    return found!;
  }

  private async findBusyEngine(): Promise<Target> {
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
    throw new Error('no engine is generating');
  }
}

/** Number of tokens that a caller has received, from its last event id. */
function positionOf(transcript: Transcript): number {
  return Number(transcript.lastEventId.split(':').at(-1));
}

function positionOfStage(stage: FaultStage, req: CompletionRequest): number {
  switch (stage) {
    case FaultStage.START:
      // Injected as soon as an engine is generating, not at a token.
      return Number.POSITIVE_INFINITY;
    case FaultStage.MIDDLE:
      return Math.floor(req.maxTokens / 2);
    case FaultStage.LAST_TOKEN:
      return req.maxTokens - 1;
    case FaultStage.BEFORE_FINAL_EVENT:
      return req.maxTokens;
  }
}

/** Every fault at every stage, for one set of components. */
export function createFaultCases(
  components: readonly Component[],
): ReadonlyArray<FaultCase & {name: string}> {
  return Object.values(Fault).flatMap((fault) =>
    Object.values(FaultStage).map((stage) => ({
      fault,
      components,
      stage,
      name: `${fault} ${components.join(' and ')} at ${stage}`,
    })),
  );
}

/** A request that ends at `maxTokens`, possibly within a character. */
export function createRequest(name: string): CompletionRequest {
  const maxTokens = 24;
  const prompt = `${name}: zażółć [length=${maxTokens + 9}]`;
  return {prompt, maxTokens};
}
