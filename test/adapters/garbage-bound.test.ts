/** When buffers that are garbage are collected. */
import {beforeEach, describe, expect, it} from 'vitest';

import type {BufferMemory} from '../../src/adapters/garbage-bound.js';
import {GarbageBound, V8Buffers} from '../../src/adapters/garbage-bound.js';
import {ManualClock} from '../../src/core/clock/index.js';
import {silentSupervisor} from '../support/supervisor.js';

/** Growth after which garbage is collected, in bytes. */
const ALLOWED = 100;

/** Longer than the interval of the checks, in milliseconds. */
const STEP_MS = 50;

class FakeMemory implements BufferMemory {
  used = 10;
  young = 0;
  old = 0;
  readonly collected: string[] = [];

  bytes(): number {
    return this.used + this.young + this.old;
  }

  collectYoung(): void {
    this.collected.push('young');
    this.young = 0;
  }

  collectAll(): void {
    this.collected.push('all');
    this.young = this.old = 0;
  }
}

const ROWS = [
  {what: 'little garbage', grow: {young: 99}, collected: []},
  {what: 'young garbage', grow: {young: 100}, collected: ['young']},
  {what: 'old garbage', grow: {old: 100}, collected: ['young', 'all']},
  {what: 'both', grow: {young: 40, old: 60}, collected: ['young', 'all']},
  {what: 'buffers in use', grow: {used: 110}, collected: ['young', 'all']},
];

describe('a bound of garbage', () => {
  let memory: FakeMemory;
  let clock: ManualClock;
  let bound: GarbageBound;

  beforeEach(() => {
    memory = new FakeMemory();
    clock = new ManualClock();
    bound = new GarbageBound({
      memory,
      clock,
      supervisor: silentSupervisor(),
      allowedBytes: ALLOWED,
    });
    bound.recordRead(1);
    clock.advance(STEP_MS);
  });

  it.each(ROWS)('collects as needed: $what', ({grow, collected}) => {
    Object.assign(memory, grow);
    clock.advance(STEP_MS);
    expect(memory.collected).toEqual(collected);
  });

  it('looks only for a while after a large message', () => {
    clock.advance(3_000);
    memory.young = 500;
    clock.advance(STEP_MS);
    expect(memory.collected).toEqual([]);
    bound.recordRead(1);
    clock.advance(STEP_MS);
    expect(memory.collected).toEqual(['young']);
  });

  // Guards against memory that a fast link fills between two looks (CROWD).
  it('looks at once when much was read', () => {
    for (let read = 0; read < 1_000; read += 10) {
      memory.young += 10;
      bound.recordRead(10);
      expect(memory.bytes()).toBeLessThan(memory.used + 2 * ALLOWED);
    }
  });

  it('collects nothing again while buffers in use stay', () => {
    memory.used = 500;
    for (let i = 0; i < 10; i++) clock.advance(STEP_MS);
    expect(memory.collected).toEqual(['young', 'all']);
  });

  // Guards against a bound that rises by what each quick collection leaves.
  it('collects garbage that grows old a little at a time', () => {
    for (let i = 0; i < 100; i++) {
      memory.young = 80;
      bound.recordRead(1);
      memory.old += 20;
      clock.advance(STEP_MS);
      expect(memory.bytes()).toBeLessThan(memory.used + 2 * ALLOWED);
    }
  });

  it('frees buffers of the process', () => {
    const buffers = new V8Buffers();
    const before = buffers.bytes();
    for (let i = 0; i < 8; i++) Buffer.allocUnsafeSlow(4 * 1024 * 1024);
    buffers.collectAll();
    expect(buffers.bytes()).toBeLessThan(before + 16 * 1024 * 1024);
  });
});
