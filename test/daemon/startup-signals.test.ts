/** A signal during startup must not end the process with a failure. */
import {EventEmitter} from 'node:events';

import {describe, expect, it} from 'vitest';

import {handleStartupSignals} from '../../src/daemon/startup-signals.js';

class FakeProcess extends EventEmitter {
  readonly exits: number[] = [];

  exit(status: number): void {
    this.exits.push(status);
  }
}

describe('handleStartupSignals', () => {
  it.each([
    {signal: 'SIGTERM', exits: [0], action: 'exits with status 0'},
    {signal: 'SIGHUP', exits: [], action: 'keeps running'},
  ])('$does on $signal', ({signal, exits}) => {
    const source = new FakeProcess();
    handleStartupSignals(source);
    // Without a listener, the signal would end the process with a failure.
    expect(source.emit(signal)).toBe(true);
    expect(source.exits).toEqual(exits);
  });

  it('removes its handlers', () => {
    const source = new FakeProcess();
    const removeHandlers = handleStartupSignals(source);
    removeHandlers();
    expect(source.emit('SIGTERM')).toBe(false);
    expect(source.emit('SIGHUP')).toBe(false);
  });
});
