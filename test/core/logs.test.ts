import {describe, expect, it} from 'vitest';

import {ManualClock} from '../../src/core/clock/index.js';
import type {WriteBytes} from '../../src/core/logs/index.js';
import {BoundedSink, createLogger} from '../../src/core/logs/index.js';

/** A reader that accepts nothing until it is started. */
class StoppedReader {
  text = '';
  private resume?: () => void;
  private isStopped = true;

  readonly writeBytes: WriteBytes = (_fd, bytes, callback) => {
    const accept = () => {
      this.text += Buffer.from(bytes).toString();
      callback(null, bytes.length);
    };
    if (this.isStopped) this.resume = accept;
    else accept();
  };

  start(): void {
    this.isStopped = false;
    this.resume?.();
  }
}

describe('BoundedSink', () => {
  it('goes on after a write that throws, and counts its lines', () => {
    let text = '';
    let dropped = 0;
    let isFailing = true;
    const sink = new BoundedSink({
      fd: 1,
      clock: new ManualClock(),
      onDropped: () => dropped++,
      writeBytes: (_fd, bytes, callback) => {
        if (isFailing) throw new Error('planted');
        text += Buffer.from(bytes).toString();
        callback(null, bytes.length);
      },
    });
    const logger = createLogger({vm: 'entry-1', role: 'direct', sink});
    logger.info('lost');
    isFailing = false;
    logger.info('written');
    expect(dropped).toBe(1);
    expect(text).toContain('written');
  });

  function createTestLogger() {
    const clock = new ManualClock();
    const reader = new StoppedReader();
    let dropped = 0;
    const sink = new BoundedSink({
      fd: 1,
      clock,
      onDropped: () => dropped++,
      writeBytes: reader.writeBytes,
    });
    const logger = createLogger({vm: 'entry-1', role: 'direct', sink});
    return {clock, reader, logger, dropped: () => dropped};
  }

  it('writes one JSON line for each message, in order', () => {
    const {reader, logger} = createTestLogger();
    reader.start();
    logger.info('one', {id: 'a'});
    logger.warn('two');
    const lines = reader.text.trim().split('\n');
    const messages = lines.map((line) => JSON.parse(line) as object);
    expect(messages).toMatchObject([
      {message: 'one', id: 'a', vm: 'entry-1', level: 'info'},
      {message: 'two', level: 'warn'},
    ]);
  });

  it('does not block when the reader stops, and counts dropped lines', () => {
    const {clock, reader, logger, dropped} = createTestLogger();
    const detail = 'x'.repeat(1_000);
    for (let i = 0; i < 2_000; i++) {
      clock.advance(10);
      logger.info('line', {i, detail});
    }
    expect(dropped()).toBeGreaterThan(1_000);
    reader.start();
    const written = reader.text.trim().split('\n').length;
    expect(written + dropped()).toBe(2_000);
  });

  it('limits the rate of lines', () => {
    const {reader, logger, dropped} = createTestLogger();
    reader.start();
    for (let i = 0; i < 1_000; i++) logger.info('burst');
    expect(dropped()).toBe(400);
  });
});
