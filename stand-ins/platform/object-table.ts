/** Versioned objects with conditional writes and a change log for watches. */
import {HttpError} from '../lib/http-server.js';
import type {Change, PlatformObject} from './types.js';

/** Maximum size of a value in bytes. */
export const MAX_VALUE_BYTES = 1024 * 1024;

interface KindState {
  readonly objects: Map<string, PlatformObject>;
  readonly listeners: Set<(change: Change) => void>;
  log: Change[];
  /** Version of the newest change dropped from the log. */
  droppedVersion: number;
}

/** Stores the objects of the platform by kind and name. */
export class ObjectTable {
  private readonly kinds = new Map<string, KindState>();
  private version = 0;

  constructor(private readonly logLength: number) {}

  create(kind: string, name: string, value: unknown): PlatformObject {
    const state = this.stateOf(kind);
    if (state.objects.has(name)) throw new HttpError(409, 'exists');
    return this.put(state, {kind, name, value});
  }

  update(
    key: {kind: string; name: string; expected: number},
    value: unknown,
  ): PlatformObject {
    const {kind, name} = key;
    const state = this.stateOf(kind);
    checkVersion(state, name, key.expected);
    return this.put(state, {kind, name, value});
  }

  remove(key: {kind: string; name: string; expected: number}): number {
    const {kind, name} = key;
    const state = this.stateOf(kind);
    checkVersion(state, name, key.expected);
    state.objects.delete(name);
    this.version += 1;
    this.publish(state, {kind, name, version: this.version});
    return this.version;
  }

  get(kind: string, name: string): PlatformObject {
    const object = this.stateOf(kind).objects.get(name);
    if (object === undefined) throw new HttpError(404, 'no such object');
    return object;
  }

  list(kind: string, prefix: string): PlatformObject[] {
    const all = [...this.stateOf(kind).objects.values()];
    return all.filter((object) => object.name.startsWith(prefix));
  }

  /**
   * Calls the listener with each logged change after `since`, then with each
   * new one. Returns a function that stops the watch. Throws 410 if changes
   * after `since` are no longer in the log.
   */
  watch(options: {
    kind: string;
    since: number;
    listener: (change: Change) => void;
  }): () => void {
    const {kind, since, listener} = options;
    const state = this.stateOf(kind);
    if (since < state.droppedVersion) {
      throw new HttpError(410, 'version too old');
    }
    state.log.filter((change) => change.version > since).forEach(listener);
    state.listeners.add(listener);
    return () => state.listeners.delete(listener);
  }

  private put(
    state: KindState,
    fields: Omit<PlatformObject, 'version'>,
  ): PlatformObject {
    const size = Buffer.byteLength(JSON.stringify(fields.value));
    if (size > MAX_VALUE_BYTES) throw new HttpError(413, 'value too large');
    this.version += 1;
    const object = {...fields, version: this.version};
    state.objects.set(object.name, object);
    this.publish(state, object);
    return object;
  }

  private publish(state: KindState, change: Change): void {
    state.log.push(change);
    if (state.log.length > this.logLength) {
      state.droppedVersion = state.log.shift()?.version ?? 0;
    }
    for (const listener of state.listeners) listener(change);
  }

  private stateOf(kind: string): KindState {
    const existing = this.kinds.get(kind);
    if (existing !== undefined) return existing;
    const state = {
      objects: new Map<string, PlatformObject>(),
      listeners: new Set<(change: Change) => void>(),
      log: [],
      droppedVersion: 0,
    };
    this.kinds.set(kind, state);
    return state;
  }
}

function checkVersion(state: KindState, name: string, expected: number): void {
  const object = state.objects.get(name);
  if (object === undefined) throw new HttpError(404, 'no such object');
  if (object.version !== expected) throw new HttpError(409, 'other version');
}
