import {ObjectKind} from '../edges/object-store.js';

/** The one object that holds the accepted configuration. */
export const CONFIG_OBJECT = {
  kind: ObjectKind.CONFIG,
  name: 'deployment',
} as const;
