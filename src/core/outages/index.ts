/** What is known of lost targets and data centres. */
export {mostlyLost} from './mostly-lost.js';
export {NewestStarts} from './newest-starts.js';
export type {RegisteredStart} from './newest-starts.js';
