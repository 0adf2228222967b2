/** VM list that returns its state with a delay. */
import type {VmRecord} from '../../src/core/edges/index.js';
import {VmRole, VmState} from '../../src/core/edges/index.js';
import {enumField, numberField, textField} from '../lib/fields.js';
import {LaggedValue} from '../lib/lagged-value.js';

/** Stores the registered VMs. */
export class VmTable {
  private readonly view: LaggedValue<readonly VmRecord[]>;
  private vms: readonly VmRecord[] = [];

  constructor(lagMs: number) {
    this.view = new LaggedValue<readonly VmRecord[]>(lagMs, []);
  }

  /** The list as of `lagMs` ago. */
  get visible(): readonly VmRecord[] {
    return this.view.get();
  }

  put(name: string, body: unknown): VmRecord {
    const vm = {
      name,
      role: enumField(body, 'role', VmRole),
      state: enumField(body, 'state', VmState),
      dataCentre: textField(body, 'dataCentre', ''),
      address: textField(body, 'address', '127.0.0.1'),
      peerPort: numberField(body, 'peerPort', 0),
      service: textField(body, 'service', ''),
    };
    this.replace(name, [vm]);
    return vm;
  }

  remove(name: string): void {
    this.replace(name, []);
  }

  private replace(name: string, vms: readonly VmRecord[]): void {
    this.vms = [...this.vms.filter((vm) => vm.name !== name), ...vms];
    this.view.set(this.vms);
  }
}
