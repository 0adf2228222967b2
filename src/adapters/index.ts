/** Implementations of the interfaces at the edges, over HTTP. */
export {HttpEngineDriver} from './http-engine-driver.js';
export {HttpObjectStore} from './http-object-store.js';
export {HttpServiceDriver} from './http-service-driver.js';
export {HttpVmList} from './http-vm-list.js';
