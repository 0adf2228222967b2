/** HTTP servers whose clients may be anyone. */
export {boundServer} from './bound-server.js';
export {readDescriptorLimit} from './descriptors.js';
