import type {ResultAsync} from 'neverthrow';

import type {Layer, LayerError} from '../errors/types.js';

/** What a VM is there for. */
export enum VmRole {
  ENTRY = 'entry',
  TARGET = 'target',
}

/** What the platform says of a VM. */
export enum VmState {
  LIVE = 'live',
  LEAVING = 'leaving',
}

/** One VM of the platform's list, which lags behind the truth. */
export interface VmRecord {
  readonly name: string;
  readonly role: VmRole;
  readonly state: VmState;
  readonly dataCentre: string;
  /** IP number of the process of the system on that VM. */
  readonly address: string;
  /** Port on which that process takes connections of its peers. */
  readonly peerPort: number;
  /** Name of the service that the target runs; empty for an entry. */
  readonly service: string;
}

/** Why the list could not be read. */
export enum VmListErrorKind {
  UNAVAILABLE = 'unavailable',
  MALFORMED = 'malformed',
}

/** An error of the VM list layer. */
export type VmListError = LayerError<Layer.VM_LIST, VmListErrorKind>;

/** The platform's list of VMs. */
export interface VmList {
  read(): ResultAsync<VmRecord[], VmListError>;
}
