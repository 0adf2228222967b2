/** Throws unforeseen exceptions in the parts of a direct entry. */
import {ResultAsync} from 'neverthrow';

import type {PlatformEdges} from '../../platform/platform-edges.js';
import type {RandomSource} from '../../src/core/clock/index.js';
import type {
  DirectTargets,
  Exchange,
  ExchangeListener,
  TargetResponseHead,
} from '../../src/core/edges/direct-target.js';
import type {StateSource} from '../../src/core/edges/state-source.js';
import type {LogFields, Logger} from '../../src/core/logs/index.js';
import {MemoryBudget} from '../../src/core/bytes/index.js';
import {Metrics} from '../../src/core/metrics/index.js';
import type {EntryParts} from './direct-entry.js';

/** Where an exception is thrown; a log line or a metric is named by its text. */
export enum FaultPlace {
  RANDOM = 'random',
  MEMORY = 'memory',
  SEND = 'send',
  /** A field of the head of a target's response. */
  HEAD = 'head',
  /** A header that cannot be written. */
  HEADER = 'header',
  /** Data of a target's response. */
  DATA = 'data',
  CANCEL = 'cancel',
  QUERY_LOAD = 'query load',
  LIST = 'list',
  WAIT = 'wait',
}

/** How an exception reaches the caller of a function that returns a promise. */
export enum FaultManner {
  THROWS = 'throws',
  REJECTS = 'rejects',
}

/** An exception that is to be thrown. */
export interface Fault {
  /** Or the text of a log line, or the name of a metric. */
  readonly place: FaultPlace | string;
  readonly manner?: FaultManner;
  /** Only for requests with this path, or for this kind of the store. */
  readonly of?: string;
  /** How often; once by default. */
  readonly times?: number;
}

const FAILURE = new Error('unforeseen');

/**
 * Wraps the parts of an entry, which work as before until a fault is armed.
 *
 * @example
 * const faults = new FaultInjector();
 * const site = await DirectSite.start(faults.siteOptions());
 * faults.arm({place: FaultPlace.SEND, of: '/stock/1'});
 */
export class FaultInjector {
  /** Exceptions thrown so far. */
  thrown = 0;
  /** Fields of the lines that report failed tasks. */
  readonly failures: LogFields[] = [];
  private fault?: Fault;
  private left = 0;

  arm(fault: Fault): void {
    this.fault = fault;
    this.left = fault.times ?? 1;
  }

  /** Options of a site whose entries are wrapped. */
  siteOptions() {
    return {
      wrapParts: (parts: EntryParts) => this.wrapParts(parts),
      wrapEdges: (edges: PlatformEdges) => this.wrapEdges(edges),
    };
  }

  /** Throws if a fault is armed for this place. */
  hit(place: string, of?: string): void {
    if (this.isDue(place, of)) throw FAILURE;
  }

  private isDue(place: string, of?: string): boolean {
    const {fault} = this;
    if (fault?.place !== place || this.left === 0) return false;
    const isOther = fault.of !== undefined && of !== undefined;
    if (isOther && fault.of !== of) return false;
    this.left--;
    this.thrown++;
    return true;
  }

  private wrapParts(parts: EntryParts): EntryParts {
    return {
      ...parts,
      random: this.wrapRandom(parts.random),
      metrics: this.createMetrics(),
      memory: this.createMemory(),
      logger: this.createLogger(),
    };
  }

  private wrapRandom(random: RandomSource): RandomSource {
    return {
      float: () => {
        this.hit(FaultPlace.RANDOM);
        return random.float();
      },
      below: (bound) => random.below(bound),
      id: () => random.id(),
    };
  }

  private createMemory(): MemoryBudget {
    const hit = () => this.hit(FaultPlace.MEMORY);
    return new (class extends MemoryBudget {
      override open() {
        hit();
        return super.open();
      }
    })({limitBytes: 40 * 1024 * 1024});
  }

  private createMetrics(): Metrics {
    const hit = (name: string) => this.hit(name);
    return new (class extends Metrics {
      override observe(options: Parameters<Metrics['observe']>[0]) {
        hit(options.name);
        super.observe(options);
      }

      override countRetry(reason: Parameters<Metrics['countRetry']>[0]) {
        hit(reason);
        super.countRetry(reason);
      }
    })();
  }

  private createLogger(): Logger {
    const write = (message: string, fields?: LogFields) => {
      if (message === 'task failed') this.failures.push(fields ?? {});
      this.hit(message);
    };
    return {info: write, warn: write, error: write};
  }

  private wrapEdges(edges: PlatformEdges): PlatformEdges {
    return {
      ...edges,
      client: this.wrapTargets(edges.client),
      configs: this.wrapSource(edges.configs, 'config'),
      registrations: this.wrapSource(edges.registrations, 'targets'),
      quarantineSource: this.wrapSource(edges.quarantineSource, 'quarantine'),
      lossSource: this.wrapSource(edges.lossSource, 'losses'),
      alertSource: this.wrapSource(edges.alertSource, 'alerts'),
    };
  }

  private wrapSource<T>(source: StateSource<T>, kind: string): StateSource<T> {
    return {
      list: () => this.fail(FaultPlace.LIST, kind) ?? source.list(),
      waitForChanges: (query) =>
        this.fail(FaultPlace.WAIT, kind) ?? source.waitForChanges(query),
    };
  }

  private fail(
    place: FaultPlace,
    of: string,
  ): ResultAsync<never, never> | void {
    if (!this.isDue(place, of)) return;
    if (this.fault!.manner !== FaultManner.REJECTS) throw FAILURE;
    return new ResultAsync(Promise.reject(FAILURE));
  }

  private wrapTargets(targets: DirectTargets): DirectTargets {
    return {
      send: (options) => {
        const {path} = options.req;
        this.hit(FaultPlace.SEND, path);
        const listener = this.wrapListener(options.listener, path);
        return this.wrapExchange(targets.send({...options, listener}), path);
      },
      canTake: (options) => targets.canTake(options),
      queryLoad: (target, timeoutMs) =>
        this.fail(FaultPlace.QUERY_LOAD, target.service) ??
        targets.queryLoad(target, timeoutMs),
      probeHealth: (options) => targets.probeHealth(options),
      copyKvCache: (options) => targets.copyKvCache(options),
      freeKvCopy: (options) => targets.freeKvCopy(options),
      reserve: (options) => targets.reserve(options),
      releaseReservation: (options) => targets.releaseReservation(options),
      releaseConnections: (target) => targets.releaseConnections(target),
    };
  }

  private wrapExchange(exchange: Exchange, path: string): Exchange {
    return {
      cancel: () => {
        this.hit(FaultPlace.CANCEL, path);
        exchange.cancel();
      },
      pause: () => exchange.pause(),
      resume: () => exchange.resume(),
    };
  }

  private wrapListener(
    listener: ExchangeListener,
    path: string,
  ): ExchangeListener {
    return {
      onNotice: (notice) => listener.onNotice(notice),
      onHead: (head) => listener.onHead(this.wrapHead(head, path)),
      onData: (chunk) =>
        listener.onData(
          this.isDue(FaultPlace.DATA, path)
            ? (undefined as unknown as Uint8Array)
            : chunk,
        ),
      onComplete: () => listener.onComplete(),
      onFailure: (failure, detail) => listener.onFailure(failure, detail),
    };
  }

  private wrapHead(head: TargetResponseHead, path: string): TargetResponseHead {
    const badHeader = {name: 'Odd', value: 'line\nbreak'};
    const headers = this.isDue(FaultPlace.HEADER, path)
      ? [...head.headers, badHeader]
      : head.headers;
    const hit = () => this.hit(FaultPlace.HEAD, path);
    return {
      ...head,
      headers,
      get load() {
        hit();
        return head.load;
      },
    };
  }
}
