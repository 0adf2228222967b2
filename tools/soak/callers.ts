/** Callers that keep using one connection until it is closed or fails. */
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

import type {RandomSource} from '../../src/core/clock/index.js';
import {SeededRandom} from '../../src/core/clock/index.js';
import {SitePath} from '../../stand-ins/site/config.js';
import {KEY_HEADER} from '../../stand-ins/site/target-wire.js';
import type {SiteResponse} from '../lab/site-caller.js';
import {sendSiteRequest} from '../lab/site-caller.js';
import {
  CALL_DEADLINE_MS,
  ABORT_MARGIN_MS,
  STREAM_DEADLINE_MS,
} from './consts.js';
import type {Attempt} from './history.js';
import {RequestKind} from './history.js';
import type {SoakSite} from './site.js';
import {keyOf} from './site.js';
import type {SoakEntry} from './soak-entry.js';
import {createSeriesRandom} from './start-plan.js';

const PATHS: Readonly<Record<RequestKind, SitePath>> = {
  [RequestKind.SAFE]: SitePath.SAFE,
  [RequestKind.UNSAFE]: SitePath.UNSAFE,
  [RequestKind.STREAM]: SitePath.STREAM,
  [RequestKind.MOVING]: SitePath.MOVING,
};

/** Kinds from which each request is drawn; each element is equally likely. */
const REQUEST_MIX = [
  RequestKind.SAFE,
  RequestKind.UNSAFE,
  RequestKind.UNSAFE,
  RequestKind.STREAM,
  RequestKind.MOVING,
];

/** Share of the streams that callers abort, and the latest time to do so. */
const ABORT_SHARE = 0.1;
const MAX_ABORT_MS = 1_500;

/** Share of the requests whose key is added and later revoked by changes. */
const CHANGING_KEY_SHARE = 0.4;

/** Uploads and their shares of the requests, where callers upload at all. */
const UPLOADS = [
  {share: 0.02, body: 'x'.repeat(3 * 1_024 * 1_024)},
  {share: 0.1, body: 'x'.repeat(300 * 1_024)},
];

/** Offset from the seed of a caller to that of its uploads. */
const UPLOAD_SEED_OFFSET = 700_000_001;

/** Longest pause between two requests of a caller, in milliseconds. */
const MAX_PAUSE_MS = 120;

/** Pause of a caller while no entry is ready, in milliseconds. */
const NO_ENTRY_PAUSE_MS = 100;

const PROBE_INTERVAL_MS = 200;

/** Consecutive failed probes after which an entry gets no new connections. */
const UNREADY_THRESHOLD = 2;

/**
 * Probes the entries and lists those that accept new connections.
 *
 * @example
 * const balancer = new LoadBalancer(site.entries);
 * const probing = balancer.run();
 */
export class LoadBalancer {
  private readonly failures = new Map<SoakEntry, number>();
  private isStopped = false;

  constructor(private readonly entries: readonly SoakEntry[]) {}

  /** Probes all entries periodically until it is stopped. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      await Promise.all(this.entries.map((entry) => this.probe(entry)));
      await sleep(PROBE_INTERVAL_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Entries that accept new connections. */
  readyEntries(): SoakEntry[] {
    return this.entries.filter((entry) => {
      return (this.failures.get(entry) ?? 0) < UNREADY_THRESHOLD;
    });
  }

  private async probe(entry: SoakEntry): Promise<void> {
    const failures = (this.failures.get(entry) ?? 0) + 1;
    this.failures.set(entry, (await entry.isReady()) ? 0 : failures);
  }
}

/**
 * Sends one request after another until it is stopped.
 *
 * @example
 * const run = new SoakCaller('c1', seed, site, balancer).run();
 */
export class SoakCaller {
  private readonly random: RandomSource;
  /** Apart from the other draws, which are the same without uploads. */
  private readonly uploadRandom: RandomSource;
  private agent = new Agent({keepAlive: true, maxSockets: 1});
  private entry?: SoakEntry;
  private sent = 0;
  private isStopped = false;

  constructor(
    private readonly name: string,
    seed: number,
    private readonly site: SoakSite,
    private readonly balancer: LoadBalancer,
    private readonly hasUploads = false,
  ) {
    this.random = new SeededRandom(seed);
    this.uploadRandom = createSeriesRandom(seed + UPLOAD_SEED_OFFSET);
  }

  async run(): Promise<void> {
    while (!this.isStopped) {
      this.entry ??= this.pick(this.balancer.readyEntries());
      if (this.entry === undefined) {
        await sleep(NO_ENTRY_PAUSE_MS);
        continue;
      }
      const isReusable = await this.request(this.entry);
      if (!isReusable) this.disconnect();
      await sleep(this.random.below(MAX_PAUSE_MS));
    }
    this.agent.destroy();
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Sends a request; returns whether its connection may be reused. */
  private async request(entry: SoakEntry): Promise<boolean> {
    const kind = this.pick(REQUEST_MIX)!;
    const isStream = kind === RequestKind.STREAM;
    const deadlineMs = isStream ? STREAM_DEADLINE_MS : CALL_DEADLINE_MS;
    const keyVersion = this.drawKeyVersion();
    const abortMs = isStream ? this.drawAbortMs() : undefined;
    const sentMs = Date.now();
    const request = {
      id: `${this.name}-${++this.sent}`,
      kind,
      entry: entry.name,
      lifetime: entry.lifetime,
      keyVersion,
      sentMs,
    };
    const signal = AbortSignal.timeout(abortMs ?? deadlineMs + ABORT_MARGIN_MS);
    const res = await sendSiteRequest({
      ...entry.callersEndpoint,
      agent: this.agent,
      path: PATHS[kind],
      key: keyOf(keyVersion),
      attemptId: request.id,
      deadlineMs,
      headers: {[KEY_HEADER]: String(keyVersion)},
      body: this.drawUpload(),
      signal,
    }).catch(() => undefined);
    const endMs = Date.now();
    const hasAborted = abortMs !== undefined && signal.aborted;
    const attempt: Attempt = {
      ...request,
      endMs,
      ...outcomeOf(res, request.id),
      hungUpMs: hasAborted ? sentMs + abortMs : undefined,
    };
    this.site.history.attempts.push(attempt);
    return attempt.isWhole && res?.headers.connection !== 'close';
  }

  private disconnect(): void {
    this.agent.destroy();
    this.agent = new Agent({keepAlive: true, maxSockets: 1});
    this.entry = undefined;
  }

  private drawUpload(): string | undefined {
    if (!this.hasUploads) return undefined;
    const drawn = this.uploadRandom.float();
    return UPLOADS.find(({share}) => drawn < share)?.body;
  }

  private drawAbortMs(): number | undefined {
    if (this.random.float() >= ABORT_SHARE) return undefined;
    return 1 + this.random.below(MAX_ABORT_MS);
  }

  /** Draws the permanent key, one of the two newest or the last revoked one. */
  private drawKeyVersion(): number {
    if (this.random.float() >= CHANGING_KEY_SHARE) return 0;
    const accepted = this.site.history.configs.filter(
      ({ackMs}) => ackMs < Infinity,
    );
    const newest = accepted.at(-1)?.version ?? 0;
    const ageInVersions = this.pick([0, 0, 0, 1, 2])!;
    return Math.max(0, newest - ageInVersions);
  }

  private pick<T>(choices: readonly T[]): T | undefined {
    return choices[this.random.below(choices.length)];
  }
}

function outcomeOf(res: SiteResponse | undefined, id: string) {
  if (res === undefined) return {text: '', isWhole: false, isProven: false};
  const {status, text, isComplete: isWhole, headers} = res;
  const idMatches = headers['attempt-id'] === id;
  const isProven = idMatches && headers['server-stamp'] !== undefined;
  return {status, text, isWhole, isProven};
}
