/** The store and the targets of a site of agents, in memory. */
import {errAsync, okAsync} from 'neverthrow';
import {Maybe} from 'purify-ts';

import type {
  EngineDriver,
  EngineSink,
  ObjectKey,
  ObjectStore,
  ServiceDriver,
  StoredObject,
  WatchHandle,
} from '../../src/core/edges/index.js';
import {
  DriverErrorKind,
  FinishReason,
  ObjectKind,
  StoreErrorKind,
} from '../../src/core/edges/index.js';
import {Layer} from '../../src/core/errors/index.js';

/** Time between two tokens, in milliseconds. */
const TOKEN_MS = 2;

type WatchOptions = Parameters<ObjectStore['watch']>[0];

/** An object store whose watches report each write. */
export class SiteStore implements ObjectStore {
  private readonly objects = new Map<string, StoredObject>();
  private readonly watches = new Set<WatchOptions>();
  private version = 0;

  create(options: ObjectKey & {value: unknown}) {
    if (this.objects.has(idOf(options))) {
      const kind = StoreErrorKind.EXISTS;
      return errAsync({layer: Layer.STORE as const, kind, detail: ''});
    }
    return okAsync(this.put(options));
  }

  update(options: ObjectKey & {value: unknown}) {
    return okAsync(this.put(options));
  }

  remove(key: ObjectKey) {
    this.objects.delete(idOf(key));
    return okAsync(undefined);
  }

  read(key: ObjectKey) {
    return okAsync(Maybe.fromNullable(this.objects.get(idOf(key))));
  }

  list({kind, prefix = ''}: {kind: ObjectKind; prefix?: string}) {
    const objects = [...this.objects.values()];
    return okAsync(
      objects.filter((o) => o.kind === kind && o.name.startsWith(prefix)),
    );
  }

  watch(options: WatchOptions): WatchHandle {
    this.watches.add(options);
    return {close: () => this.watches.delete(options)};
  }

  put({kind, name, value}: ObjectKey & {value: unknown}): StoredObject {
    const object = {kind, name, version: ++this.version, value};
    this.objects.set(idOf(object), object);
    for (const watch of this.watches) {
      if (watch.kind === kind) watch.onEvent(object);
    }
    return object;
  }

  /** Number of bookings whose outcome is recorded. */
  countOutcomes(): number {
    const groups = [...this.objects.values()]
      .filter((object) => object.kind === ObjectKind.OUTCOME)
      .map(({value}) => value as {outcomes: Array<{name: string}>});
    const names = groups.flatMap(({outcomes}) => outcomes.map((o) => o.name));
    return new Set(names).size;
  }
}

function idOf({kind, name}: ObjectKey): string {
  return `${kind}/${name}`;
}

/** An engine that generates numbered tokens up to the maximum. */
export class SiteEngine implements EngineDriver {
  /** Whether the next tokens have no list, which breaks their reader. */
  isNextPartBroken = false;

  generate(options: Parameters<EngineDriver['generate']>[0]) {
    const {spec, resumeFrom, sink} = options;
    let position = resumeFrom.length;
    const timer = setInterval(() => {
      if (position < spec.maxTokens) {
        this.emit(sink, position++);
        return;
      }
      clearInterval(timer);
      sink.onFinish(FinishReason.LENGTH);
    }, TOKEN_MS);
    return {cancel: () => clearInterval(timer)};
  }

  probe() {
    const report = {running: 0, waiting: 0, capacity: 8};
    return okAsync({...report, instance: 'i1', cachedPrefixes: []});
  }

  sendCommand() {
    const kind = DriverErrorKind.REFUSED;
    return errAsync({layer: Layer.DRIVER as const, kind, detail: ''});
  }

  private emit(sink: EngineSink, position: number): void {
    const tokens = [{id: position, text: `${position} `}];
    const isBroken = this.isNextPartBroken;
    this.isNextPartBroken = false;
    sink.onTokens({position, tokens: isBroken ? (null as never) : tokens});
  }
}

/** A plain service that counts its executions by path. */
export class SiteService implements ServiceDriver {
  readonly executions = new Map<string, number>();

  call({req}: Parameters<ServiceDriver['call']>[0]) {
    const before = this.executions.get(req.path) ?? 0;
    this.executions.set(req.path, before + 1);
    return okAsync({status: 200, headers: [], body: Buffer.from(req.path)});
  }

  probe() {
    return okAsync({running: 0, capacity: 8});
  }
}
