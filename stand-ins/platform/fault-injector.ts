/** The active fault of the platform. */
import {enumField, numberField, textField} from '../lib/fields.js';
import {PlatformFault} from './types.js';

/** Default delay of the `slow` fault, in milliseconds. */
const DEFAULT_SLOW_MS = 2_000;

/** Stores the active fault and the number of writes that it still affects. */
export class FaultInjector {
  private fault = PlatformFault.OK;
  private writesLeft = Infinity;
  private slowMs = 0;
  private kind = '';
  private heldWrites: Array<() => void> = [];

  get isDown(): boolean {
    return this.fault === PlatformFault.DOWN;
  }

  /** Whether calls on a kind fail; a fault may be limited to one kind. */
  isDownFor(kind: string): boolean {
    return this.isDown && (this.kind === '' || this.kind === kind);
  }

  get delayMs(): number {
    return this.fault === PlatformFault.SLOW ? this.slowMs : 0;
  }

  /**
   * Sets the fault `mode` of the body. Optional fields are `count`, the number
   * of writes to affect; `kind`, the only kind that `down` and `hold_writes`
   * affect; and `delayMs`, the delay of `slow`.
   */
  set(body: unknown): PlatformFault {
    this.fault = enumField(body, 'mode', PlatformFault);
    this.writesLeft = numberField(body, 'count', Infinity);
    this.kind = textField(body, 'kind', '');
    this.slowMs = numberField(body, 'delayMs', DEFAULT_SLOW_MS);
    return this.fault;
  }

  /** Resolves once enough writes of a kind have arrived, if they are held. */
  async holdWrite(kind: string): Promise<void> {
    if (this.fault !== PlatformFault.HOLD_WRITES || kind !== this.kind) return;
    const released = new Promise<void>((resolve) =>
      this.heldWrites.push(resolve),
    );
    if (this.heldWrites.length >= this.writesLeft) {
      for (const release of this.heldWrites.splice(0)) release();
    }
    await released;
  }

  /** Returns the fault of the next write and decrements the remaining count. */
  consumeForWrite(): PlatformFault {
    const affectsWrites =
      this.fault === PlatformFault.LOSE_WRITE_RESPONSE ||
      this.fault === PlatformFault.FAIL_BEFORE_EFFECT;
    if (!affectsWrites || this.writesLeft <= 0) return PlatformFault.OK;
    this.writesLeft -= 1;
    return this.fault;
  }
}
