/** Where the lab finds programs and examples, run from source or compiled. */
const HERE = new URL('.', import.meta.url);
const IS_COMPILED = HERE.pathname.endsWith('/dist/tools/lab/');
const ROOT = new URL(IS_COMPILED ? '../../../' : '../../', HERE);

/** Root of the compiled programs. */
export const DIST_URL = new URL('dist/', ROOT);

/** The example deployments. */
export const EXAMPLES_URL = new URL('examples/', ROOT);
