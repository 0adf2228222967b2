/** Signals that reach a process before it is up. */
import {EventEmitter} from 'node:events';

import {describe, expect, it} from 'vitest';

import {handleStartupSignals} from '../../src/daemon/startup-signals.js';

class FakeProcess extends EventEmitter {
  readonly exits: number[] = [];

  exit(status: number): void {
    this.exits.push(status);
  }
}

describe('guardStart', () => {
  it.each([
    {signal: 'SIGTERM', exits: [0], does: 'ends as planned'},
    {signal: 'SIGHUP', exits: [], does: 'goes on'},
  ])('has a starting process that $does on $signal', ({signal, exits}) => {
    const source = new FakeProcess();
    handleStartupSignals(source);
    // Without a listener the signal would end the process with a failure.
    expect(source.emit(signal)).toBe(true);
    expect(source.exits).toEqual(exits);
  });

  it('leaves the signals to others once it is lifted', () => {
    const source = new FakeProcess();
    const removeHandlers = handleStartupSignals(source);
    removeHandlers();
    expect(source.emit('SIGTERM')).toBe(false);
    expect(source.emit('SIGHUP')).toBe(false);
  });
});
