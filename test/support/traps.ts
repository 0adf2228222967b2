/** Exceptions that are thrown through the interfaces of a process. */
import {ResultAsync} from 'neverthrow';

/** How an armed call fails. */
export enum TrapMode {
  THROW = 'throws',
  REJECT = 'rejects',
  /** It takes effect, and its result is lost by a rejection. */
  REJECT_AFTER = 'rejects after its effect',
}

/** Calls that fail. */
export interface Trap {
  /** Interface and method, such as `store.list`. */
  readonly point: string;
  readonly mode?: TrapMode;
  /** Calls that fail; 1 by default. */
  readonly times?: number;
  /** Calls that pass before; 0 by default. */
  readonly skip?: number;
  /** First argument of the calls that count, as far as it is given. */
  readonly argument?: unknown;
}

/** Message of each exception. */
export const TRAP_MESSAGE = 'planted';

/**
 * Arms methods of wrapped interfaces and counts their calls.
 *
 * @example
 * const store = traps.wrap('store', new SiteStore());
 * traps.arm({point: 'store.list', mode: TrapMode.REJECT});
 */
export class Traps {
  /** Number of exceptions so far. */
  sprung = 0;
  private trap: Trap | undefined;
  private matches = 0;
  private readonly calls = new Map<string, number>();

  arm(trap: Trap): void {
    this.trap = trap;
    this.matches = 0;
  }

  /** Number of calls of a method so far. */
  countCalls(point: string): number {
    return this.calls.get(point) ?? 0;
  }

  wrap<T extends object>(name: string, target: T): T {
    return new Proxy(target, {
      get: (_, property) => {
        const value: unknown = Reflect.get(target, property);
        if (typeof value !== 'function') return value;
        const point = `${name}.${String(property)}`;
        return (...args: unknown[]) =>
          this.run(point, args, () => value.apply(target, args) as unknown);
      },
    });
  }

  private run(point: string, args: unknown[], call: () => unknown): unknown {
    this.calls.set(point, this.countCalls(point) + 1);
    const mode = this.spring(point, args[0]);
    if (mode === undefined) return call();
    if (mode === TrapMode.THROW) throw new Error(TRAP_MESSAGE);
    if (mode === TrapMode.REJECT_AFTER) call();
    return new ResultAsync(Promise.reject(new Error(TRAP_MESSAGE)));
  }

  private spring(point: string, argument: unknown): TrapMode | undefined {
    const {trap} = this;
    if (trap?.point !== point || !covers(trap.argument, argument))
      return undefined;
    const {skip = 0, times = 1, mode = TrapMode.THROW} = trap;
    const index = this.matches++;
    if (index < skip || index >= skip + times) return undefined;
    this.sprung++;
    return mode;
  }
}

function covers(expected: unknown, actual: unknown): boolean {
  if (expected === undefined) return true;
  if (typeof expected !== 'object' || expected === null)
    return expected === actual;
  const fields = actual as Readonly<Record<string, unknown>>;
  return Object.entries(expected).every(
    ([name, value]) => fields[name] === value,
  );
}
