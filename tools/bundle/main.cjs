/**
 * Bundles the direct entry into target/: `direct.cjs`, which handles signals from
 * its first line on, and `run-direct.cjs`, which it loads. One file would be
 * read and compiled as a whole before its first line runs.
 */
const {build} = require('esbuild');

/** Keeps what the program loads out of its own file. */
const KEEP_APART = {
  name: 'keep-apart',
  setup: ({onResolve}) => {
    onResolve({filter: /^\.\/run-direct\.js$/}, () => ({
      path: './run-direct.cjs',
      external: true,
    }));
  },
};

// A failure is printed and ends the script with status 1.
void build({
  entryPoints: {
    direct: 'src/daemon/direct-main.ts',
    'run-direct': 'src/daemon/run-direct.ts',
  },
  outdir: 'target',
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  // `require` loads the rest without the module loader.
  supported: {'dynamic-import': false},
  plugins: [KEEP_APART],
  logLevel: 'warning',
});
