/** Paths in the repository; valid in compiled modules and in sources. */
import {existsSync} from 'node:fs';

/** Root of the repository. */
export const ROOT = findRoot(new URL('./', import.meta.url));

/** Root of the compiled programs. */
export const DIST = new URL('dist/', ROOT);

/** Folder of the example deployments. */
export const EXAMPLES = new URL('examples/', ROOT);

function findRoot(folder: URL): URL {
  if (existsSync(new URL('package.json', folder))) return folder;
  const parent = new URL('../', folder);
  if (parent.href === folder.href) throw new Error('no package.json found');
  return findRoot(parent);
}
