/** The targets of the replay, all in this process. */
import {setTimeout as sleep} from 'node:timers/promises';

import {StoreObjectKind} from '../../platform/names.js';
import {LocalCopyNetwork} from '../../stand-ins/site/copy-network.js';
import type {StandInStore} from '../../stand-ins/site/store.js';
import {StandInTarget} from '../../stand-ins/site/target.js';
import {TargetFault} from '../../stand-ins/site/target-fault.js';
import {ReplayService} from './config.js';
import {ENGINES, PLAIN_SERVERS, STREAM_PACE, WORK_MS, ZONES} from './consts.js';

const ENGINE_SLOTS = 64;
const PLAIN_SLOTS = 6;

/** Time after which the registration of a dead target expires. */
const REGISTRATION_EXPIRY_MS = 1_500;

/** Time for which a draining target keeps running. */
const DRAIN_MS = 2_500;

const FORGET_INTERVAL_MS = 2_000;

/** A target with its place. */
export interface PlacedTarget {
  readonly target: StandInTarget;
  readonly service: ReplayService;
  readonly zone: string;
}

/**
 * Starts, registers and disturbs the targets.
 *
 * @example
 * const targets = new ReplayTargets(store);
 * await targets.start();
 */
export class ReplayTargets {
  readonly all: PlacedTarget[] = [];
  private readonly copyNetwork = new LocalCopyNetwork();
  private forgetting?: NodeJS.Timeout;
  private isClosed = false;

  constructor(private readonly store: StandInStore) {}

  async start(): Promise<void> {
    const {ENGINES: engines, PLAIN} = ReplayService;
    for (let i = 0; i < ENGINES; i++) await this.add(engines, i);
    for (let i = 0; i < PLAIN_SERVERS; i++) await this.add(PLAIN, i);
    this.forgetting = setInterval(() => this.forget(), FORGET_INTERVAL_MS);
  }

  /** Ends a target at once; it comes back on its port after `downMs`. */
  async crash(placed: PlacedTarget, downMs: number): Promise<void> {
    placed.target.crash();
    const expiry = setTimeout(
      () => this.unregister(placed),
      REGISTRATION_EXPIRY_MS,
    );
    await sleep(downMs);
    clearTimeout(expiry);
    await this.restart(placed);
  }

  /** Drains a target, ends it and starts it again after `downMs`. */
  async leave(placed: PlacedTarget, downMs: number): Promise<void> {
    this.register(placed, 'draining');
    await sleep(DRAIN_MS);
    this.unregister(placed);
    placed.target.crash();
    await sleep(downMs);
    await this.restart(placed);
  }

  /** Makes a target respond incorrectly for a time. */
  async fault(
    {target}: PlacedTarget,
    fault: TargetFault,
    durationMs: number,
  ): Promise<void> {
    target.fault = fault;
    await sleep(durationMs);
    target.fault = TargetFault.NONE;
  }

  /** Makes a target accept and answer nothing for a time. */
  async silence({target}: PlacedTarget, durationMs: number): Promise<void> {
    target.isUnresponsive = true;
    await sleep(durationMs);
    target.isUnresponsive = false;
  }

  close(): void {
    this.isClosed = true;
    clearInterval(this.forgetting);
    for (const {target} of this.all) target.crash();
  }

  private async add(service: ReplayService, index: number): Promise<void> {
    const isEngine = service === ReplayService.ENGINES;
    const target = new StandInTarget({
      id: `${service}-${index}`,
      copyNetwork: this.copyNetwork,
      pace: isEngine ? STREAM_PACE : undefined,
      workMs: WORK_MS,
    });
    await target.start();
    const zone = ZONES[index % ZONES.length]!;
    const placed = {target, service, zone};
    this.all.push(placed);
    this.copyNetwork.targetsByAddress.set(target.listenAddress, target);
    this.register(placed, 'ready');
  }

  private async restart(placed: PlacedTarget): Promise<void> {
    if (this.isClosed) return;
    await placed.target.restart();
    this.register(placed, 'ready');
  }

  private register(placed: PlacedTarget, state: string): void {
    const {target, service, zone} = placed;
    const isEngine = service === ReplayService.ENGINES;
    const models = isEngine ? [{name: 'm', version: 1, adapters: []}] : [];
    const spec = {
      ...target.registration({service, zone, state}),
      slots: isEngine ? ENGINE_SLOTS : PLAIN_SLOTS,
      ...{stage: 'mixed', models},
    };
    this.store.put({kind: StoreObjectKind.TARGETS, name: target.id, spec});
  }

  private unregister({target}: PlacedTarget): void {
    this.store.remove({kind: StoreObjectKind.TARGETS, name: target.id});
  }

  /** Drops the records of runs, whose bodies would fill the memory. */
  private forget(): void {
    for (const {target} of this.all) {
      target.runs.length = 0;
      target.arrivedAtMs.length = 0;
    }
  }
}
