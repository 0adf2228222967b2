/** A signal during startup must not end the process with a failure. */
import {EventEmitter} from 'node:events';

import {describe, expect, it} from 'vitest';

import {StartupSignals} from '../../src/daemon/startup-signals.js';

class FakeProcess extends EventEmitter {
  readonly exits: number[] = [];

  exit(status: number): void {
    this.exits.push(status);
  }
}

describe('StartupSignals', () => {
  it.each([
    {signal: 'SIGTERM', exits: [0], reloads: 0, action: 'exits with status 0'},
    {signal: 'SIGINT', exits: [0], reloads: 0, action: 'exits with status 0'},
    {signal: 'SIGHUP', exits: [], reloads: 1, action: 'counts a reload'},
  ])('$action on $signal', ({signal, exits, reloads}) => {
    const source = new FakeProcess();
    const startupSignals = new StartupSignals(source);
    // Without a listener, the signal would end the process with a failure.
    expect(source.emit(signal)).toBe(true);
    expect(source.exits).toEqual(exits);
    expect(startupSignals.reloads).toBe(reloads);
  });

  it('removes its handlers', () => {
    const source = new FakeProcess();
    new StartupSignals(source).remove();
    expect(source.emit('SIGTERM')).toBe(false);
    expect(source.emit('SIGINT')).toBe(false);
    expect(source.emit('SIGHUP')).toBe(false);
  });
});
