/** Requests under which engines were lost before they wrote anything. */
import type {Clock} from '../clock/index.js';

/** Losses after which a request counts as their cause. */
export const POISON_CRASHES = 3;

/** Time for which a loss is held against a request, in milliseconds. */
const MEMORY_MS = 60_000;

/** Requests that are remembered; the oldest ones go first. */
const MAX_REQUESTS = 4_096;

const NONE: ReadonlySet<string> = new Set();

interface CrashEntry {
  /** Ids of the engines that were lost; each has one life. */
  readonly engines: Set<string>;
  lastMs: number;
}

/**
 * Counts the engines that were lost under each request. Serves the load of a
 * request that crashes every engine which begins it, and comes again; an
 * engine that is lost under many equal requests counts once.
 *
 * @example
 * const crashes = new CrashRecord({clock});
 * crashes.note(fingerprint, engineId);
 * if (crashes.isPoison(fingerprint)) refuse();
 */
export class CrashRecord {
  private readonly records = new Map<string, CrashEntry>();
  /** Requests for which an engine has written: they crash none. */
  private readonly harmless = new Set<string>();

  constructor(private readonly options: {clock: Clock}) {}

  get isEmpty(): boolean {
    return this.records.size === 0;
  }

  /** An engine was lost under a request before it wrote anything. */
  note(fingerprint: string, engineId: string): void {
    if (this.harmless.has(fingerprint)) return;
    const engines = new Set(this.enginesOf(fingerprint)).add(engineId);
    this.records.delete(fingerprint);
    this.records.set(fingerprint, {engines, lastMs: this.options.clock.now()});
    trim(this.records);
  }

  /** An engine was lost for another cause: the whole data centre went. */
  acquit(fingerprint: string, engineId: string): void {
    const record = this.records.get(fingerprint);
    if (record === undefined) return;
    record.engines.delete(engineId);
    if (record.engines.size === 0) this.records.delete(fingerprint);
  }

  /** An engine has written something for the request. */
  noteWritten(fingerprint: string): void {
    this.records.delete(fingerprint);
    this.harmless.delete(fingerprint);
    this.harmless.add(fingerprint);
    trim(this.harmless);
  }

  isPoison(fingerprint: string): boolean {
    return this.enginesOf(fingerprint).size >= POISON_CRASHES;
  }

  /** Ids of the engines that were lost lately. */
  enginesOf(fingerprint: string): ReadonlySet<string> {
    const record = this.records.get(fingerprint);
    if (record === undefined) return NONE;
    const ageMs = this.options.clock.now() - record.lastMs;
    return ageMs > MEMORY_MS ? NONE : record.engines;
  }
}

function trim(requests: Map<string, unknown> | Set<string>): void {
  if (requests.size <= MAX_REQUESTS) return;
  const oldest = requests.keys().next().value;
  if (oldest !== undefined) requests.delete(oldest);
}
