/** Receives the new value of a cell. */
export type CellListener<T> = (value: T) => void;

/**
 * One shared value of a process. Controllers write it, the request path reads
 * it, and listeners are called on each change.
 *
 * @example
 * const leaving = new Cell(false);
 * leaving.subscribe((value) => console.log(value));
 * leaving.set(true);
 */
export class Cell<T> {
  private readonly listeners = new Set<CellListener<T>>();

  constructor(private value: T) {}

  get(): T {
    return this.value;
  }

  /** Replaces the value and calls the listeners if it differs. */
  set(value: T): void {
    if (Object.is(value, this.value)) return;
    this.value = value;
    for (const listener of [...this.listeners]) listener(value);
  }

  /** Adds a listener; the returned function removes it. */
  subscribe(listener: CellListener<T>): () => void {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }
}
