/** HTTP implementations of the interfaces in `core/edges`. */
export {HttpEngineDriver} from './http-engine-driver.js';
export {HttpObjectStore} from './http-object-store.js';
export {HttpServiceDriver} from './http-service-driver.js';
export {HttpVmList} from './http-vm-list.js';
