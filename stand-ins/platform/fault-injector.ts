/** The fault in force, and for how many more writes. */
import {enumField, numberField, textField} from '../lib/fields.js';
import {PlatformFault} from './types.js';

/** Delay of the slow fault where none is given, in milliseconds. */
const DEFAULT_SLOW_MS = 2_000;

/** Holds the fault that a test ordered. */
export class FaultInjector {
  private fault = PlatformFault.OK;
  private writesLeft = Infinity;
  private slowMs = 0;
  private kind = '';

  get isDown(): boolean {
    return this.fault === PlatformFault.DOWN;
  }

  /** Whether calls on a kind fail; a fault may name one kind alone. */
  isDownFor(kind: string): boolean {
    return this.isDown && (this.kind === '' || this.kind === kind);
  }

  get delayMs(): number {
    return this.fault === PlatformFault.SLOW ? this.slowMs : 0;
  }

  set(body: unknown): PlatformFault {
    this.fault = enumField(body, 'mode', PlatformFault);
    this.writesLeft = numberField(body, 'count', Infinity);
    this.kind = textField(body, 'kind', '');
    this.slowMs = numberField(body, 'delayMs', DEFAULT_SLOW_MS);
    return this.fault;
  }

  /** The fault that meets the next write; counts down. */
  consumeForWrite(): PlatformFault {
    const isForWrites =
      this.fault === PlatformFault.LOSE_WRITE_RESPONSE ||
      this.fault === PlatformFault.FAIL_BEFORE_EFFECT;
    if (!isForWrites || this.writesLeft <= 0) return PlatformFault.OK;
    this.writesLeft -= 1;
    return this.fault;
  }
}
