/** Runs the configuration controller of an entry without its other parts. */
import {HttpObjectStore, HttpVmList} from '../../../src/adapters/index.js';
import {SystemClock, SystemRandom} from '../../../src/core/clock/index.js';
import type {
  ObjectStore,
  VmRecord,
  WatchHandle,
} from '../../../src/core/edges/index.js';
import {VmRole, VmState} from '../../../src/core/edges/index.js';
import {SILENT_LOGGER} from '../../../src/core/logs/index.js';
import {Supervisor} from '../../../src/core/supervision/index.js';
import {Metrics} from '../../../src/core/metrics/index.js';
import type {HelloMessage} from '../../../src/core/protocol/index.js';
import {
  MessageRouter,
  MessageType,
  PeerRole,
  PeerServer,
  PROTOCOL_VERSION,
} from '../../../src/core/protocol/index.js';
import {ConfigController} from '../../../src/entry/config/config-controller.js';
import {EntryBoard} from '../../../src/entry/entry-board.js';
import {PeerSession} from '../../../src/entry/links/peer-session.js';
import {VmDirectory} from '../../../src/entry/links/vm-directory.js';

const ADDRESS = '127.0.0.1';

/** Counts reads and watches of the store and the bytes they return. */
class CountingStore implements ObjectStore {
  bytes = 0;
  calls = 0;

  constructor(private readonly inner: ObjectStore) {}

  create(options: Parameters<ObjectStore['create']>[0]) {
    return this.inner.create(options);
  }

  update(options: Parameters<ObjectStore['update']>[0]) {
    return this.inner.update(options);
  }

  remove(options: Parameters<ObjectStore['remove']>[0]) {
    return this.inner.remove(options);
  }

  list(options: Parameters<ObjectStore['list']>[0]) {
    return this.inner.list(options);
  }

  read(key: Parameters<ObjectStore['read']>[0]) {
    this.calls++;
    return this.inner.read(key).map((found) => {
      this.bytes += JSON.stringify(found.extractNullable()).length;
      return found;
    });
  }

  watch(options: Parameters<ObjectStore['watch']>[0]): WatchHandle {
    this.calls++;
    return this.inner.watch({
      ...options,
      onEvent: (event) => {
        this.bytes += JSON.stringify(event).length;
        options.onEvent(event);
      },
    });
  }
}

/** Configuration controller of one entry, connected over real sockets. */
export class LightEntry {
  readonly board = new EntryBoard();
  readonly store: CountingStore;
  private readonly directory: VmDirectory;
  private readonly controller: ConfigController;
  private readonly server: PeerServer;
  private readonly hello: HelloMessage;

  constructor(
    private readonly options: {
      vm: string;
      dataCentre: string;
      platformUrl: string;
      /** Whether every entry watches the store itself, without fan-out. */
      flat: boolean;
    },
  ) {
    const {vm, dataCentre, platformUrl} = options;
    const clock = new SystemClock();
    const random = new SystemRandom();
    const metrics = new Metrics();
    const router = new MessageRouter();
    const logger = SILENT_LOGGER;
    const supervisor = new Supervisor({clock, metrics, logger});
    const {board} = this;
    this.hello = {
      type: MessageType.HELLO,
      protocol: PROTOCOL_VERSION,
      role: PeerRole.ENTRY,
      vm,
      incarnation: random.id(),
      dataCentre,
    };
    this.store = new CountingStore(new HttpObjectStore({baseUrl: platformUrl}));
    const vmList = new HttpVmList({baseUrl: platformUrl});
    this.directory = new VmDirectory({board, clock, vmList, supervisor});
    this.controller = new ConfigController({
      ...{board, clock, random, metrics, router, hello: this.hello},
      logger,
      supervisor,
      store: this.store,
      self: {vm, dataCentre},
      site: 'waw',
    });
    this.server = new PeerServer({
      hello: this.hello,
      clock,
      createListener: (connection) =>
        new PeerSession({router, metrics}, connection),
    });
  }

  /** Starts listening and returns the record for the VM list. */
  async start(): Promise<VmRecord> {
    const {vm, dataCentre, flat} = this.options;
    const listening = await this.server.listen({address: ADDRESS, port: 0});
    const peerPort = listening._unsafeUnwrap();
    this.controller.open();
    // Without the VM list an entry finds no other entries, so it watches the store.
    if (!flat) this.directory.open();
    return {
      name: vm,
      role: VmRole.ENTRY,
      state: VmState.LIVE,
      dataCentre,
      address: ADDRESS,
      peerPort,
      service: '',
    };
  }

  /** Returns the version of the active configuration, 0 if there is none. */
  getConfigVersion(): number {
    return this.board.config.get().extract()?.version ?? 0;
  }

  stop(): void {
    this.controller.close();
    this.directory.close();
    this.server.close();
  }
}
