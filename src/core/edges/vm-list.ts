/** The platform's list of VMs. */
import type {ResultAsync} from 'neverthrow';

import type {Layer, LayerError} from '../errors/types.js';

/** Role of the process that runs on a VM. */
export enum VmRole {
  ENTRY = 'entry',
  TARGET = 'target',
}

/** State of a VM as reported by the platform; a leaving VM is draining. */
export enum VmState {
  LIVE = 'live',
  LEAVING = 'leaving',
}

/** One VM of the platform's list, which lags behind the actual state. */
export interface VmRecord {
  readonly name: string;
  readonly role: VmRole;
  readonly state: VmState;
  readonly dataCentre: string;
  /** IP address of the system's process on that VM. */
  readonly address: string;
  /** Port on which that process accepts connections from peers. */
  readonly peerPort: number;
  /** Name of the service that the target serves; empty for an entry. */
  readonly service: string;
}

/** Why the list could not be read. */
export enum VmListErrorKind {
  UNAVAILABLE = 'unavailable',
  MALFORMED = 'malformed',
}

/** An error of the VM list layer. */
export type VmListError = LayerError<Layer.VM_LIST, VmListErrorKind>;

/** Reads the platform's list of VMs. */
export interface VmList {
  read(): ResultAsync<VmRecord[], VmListError>;
}
