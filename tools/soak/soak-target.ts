/** A target of the soak: its process and the relay in front of it. */
import {setTimeout as sleep} from 'node:timers/promises';

import {StoreObjectKind} from '../../platform/names.js';
import {Relay} from '../../stand-ins/relay/relay.js';
import {SiteService} from '../../stand-ins/site/config.js';
import type {TargetReport} from '../../stand-ins/site/target-main.js';
import {registrationOf} from '../../stand-ins/site/registration.js';
import {
  REGISTRATION_EXPIRY_MS,
  STREAM_EVENTS,
  STREAM_FIRST_MS,
  STREAM_GAP_MS,
  WORK_MS,
} from './consts.js';
import type {Arrival, History} from './history.js';
import {StandInProcess} from './stand-in-process.js';

const HOST = '127.0.0.1';

/** Parameters of a target. */
export interface SoakTargetOptions {
  readonly id: string;
  readonly service: SiteService;
  readonly zone: string;
  /** Store in which the target is registered. */
  readonly store: StandInProcess;
  readonly history: History;
}

/**
 * A target process with its registration in the store.
 *
 * @example
 * const target = await SoakTarget.start({id: 'i-1', service, zone, ...});
 */
export class SoakTarget {
  /** Requests that the target is processing, by request id. */
  private readonly running = new Map<string, Arrival>();

  private constructor(
    private readonly options: SoakTargetOptions,
    readonly standIn: StandInProcess,
    /** Relay between entries and the target. */
    readonly relay: Relay,
  ) {}

  /** Starts the target and registers it. */
  static async start(options: SoakTargetOptions): Promise<SoakTarget> {
    const isWriter = options.service === SiteService.WRITERS;
    const standIn = await StandInProcess.start({
      script: 'target-main.js',
      args: [
        ['--id', options.id],
        ['--events', String(isWriter ? STREAM_EVENTS : 0)],
        ['--first-ms', String(STREAM_FIRST_MS)],
        ['--gap-ms', String(STREAM_GAP_MS)],
        ['--work-ms', String(WORK_MS)],
      ].flat(),
      onReport: (report) => target.recordReport(report as TargetReport),
    });
    const relay = new Relay({
      address: HOST,
      port: 0,
      toHost: HOST,
      toPort: standIn.port,
    });
    await relay.listen();
    const target = new SoakTarget(options, standIn, relay);
    await target.register('ready');
    return target;
  }

  get id(): string {
    return this.options.id;
  }

  get service(): SiteService {
    return this.options.service;
  }

  get zone(): string {
    return this.options.zone;
  }

  /** Registers the target with a state, `ready` or `draining`, in the store. */
  async register(state: string): Promise<void> {
    const {id, service, zone, store} = this.options;
    const address = `${HOST}:${this.relay.port}`;
    const spec = registrationOf({service, zone, address, state});
    await store.execute('put', {kind: StoreObjectKind.TARGETS, name: id, spec});
  }

  /** Removes the target's registration from the store. */
  async unregister(): Promise<void> {
    const {id, store} = this.options;
    await store.execute('remove', {kind: StoreObjectKind.TARGETS, name: id});
  }

  /** Kills the process and removes its registration after the expiry time. */
  async kill(): Promise<void> {
    this.standIn.proc.kill();
    const endedMs = Date.now();
    for (const arrival of this.running.values()) arrival.endedMs = endedMs;
    this.running.clear();
    await sleep(REGISTRATION_EXPIRY_MS);
    await this.unregister();
    await this.relay.close();
  }

  private recordReport(report: TargetReport): void {
    const {attemptId, atMs} = report;
    if (report.type === 'ended') {
      const arrival = this.running.get(attemptId);
      if (arrival !== undefined) arrival.endedMs = atMs;
      this.running.delete(attemptId);
      return;
    }
    const {id: target, service, history} = this.options;
    const {hasRun} = report;
    const keyVersion = Number(report.key);
    const arrival = {attemptId, target, service, keyVersion, atMs, hasRun};
    history.arrivals.push(arrival);
    if (hasRun) this.running.set(attemptId, arrival);
  }
}
