/** Layer rules: see docs/ARCHITECTURE.md. */
module.exports = {
  forbidden: [
    {
      name: 'no-cycles',
      severity: 'error',
      from: {},
      to: {circular: true, dependencyTypesNot: ['type-only']},
    },
    {
      name: 'core-knows-no-outside',
      comment: 'Decisions reach the outside only through src/core/edges.',
      severity: 'error',
      from: {path: '^src/core'},
      to: {path: '^src/(adapters|entry|agent|daemon|cli)'},
    },
    {
      name: 'request-path-imports-no-adapter',
      comment: 'Adapters are chosen by the daemon alone.',
      severity: 'error',
      from: {path: '^src/(entry|agent|direct)'},
      to: {path: '^src/(adapters|daemon|cli)'},
    },
    {
      name: 'roles-are-separate',
      severity: 'error',
      from: {path: '^src/entry'},
      to: {path: '^src/agent'},
    },
    {
      name: 'roles-are-separate-agent',
      severity: 'error',
      from: {path: '^src/agent'},
      to: {path: '^src/entry'},
    },
    {
      name: 'only-the-daemon-knows-the-platform',
      comment:
        'Wire names and formats stay in platform/; programs hand them in.',
      severity: 'error',
      from: {path: '^src/(?!daemon|cli/main\\.ts)'},
      to: {path: '^platform'},
    },
    {
      name: 'platform-decides-nothing',
      comment:
        'It may use the types and edges of the core, no run of a request.',
      severity: 'error',
      from: {path: '^platform'},
      to: {path: '^src/(direct|entry|agent|daemon|cli)'},
    },
    {
      name: 'product-knows-no-stand-in',
      severity: 'error',
      from: {path: '^(src|platform)'},
      to: {path: '^(stand-ins|test|tools|bench)'},
    },
  ],
  options: {
    tsPreCompilationDeps: true,
    tsConfig: {fileName: 'tsconfig.json'},
    doNotFollow: {path: 'node_modules'},
  },
};
