import tseslint from 'typescript-eslint';

const RESTRICTED_SYNTAX = [
  {
    selector: 'ExportDefaultDeclaration',
    message: 'Use named exports (Google TypeScript Style Guide).',
  },
  {
    selector: 'PropertyDefinition[key.type="PrivateIdentifier"]',
    message: 'Use the private keyword instead of #fields.',
  },
  {
    selector: 'TSEnumDeclaration[const=true]',
    message: 'Use plain enums (Google TypeScript Style Guide).',
  },
];

export default tseslint.config(
  {
    ignores: [
      'dist/**',
      'target/**',
      'node_modules/**',
      '**/*.cjs',
      'eslint.config.js',
    ],
  },
  ...tseslint.configs.recommendedTypeChecked,
  {
    languageOptions: {
      parserOptions: {projectService: true},
    },
    rules: {
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'prefer-const': 'error',
      'no-var': 'error',
      'no-restricted-syntax': ['error', ...RESTRICTED_SYNTAX],
      'max-lines': ['error', {max: 400, skipComments: true}],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'enumMember', format: ['UPPER_CASE']},
        {selector: 'function', format: ['camelCase']},
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE', 'PascalCase'],
        },
      ],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
    },
  },
  {
    // A detached promise whose rejection is not held ends the whole process.
    files: ['src/**', 'platform/**'],
    rules: {
      '@typescript-eslint/no-floating-promises': ['error', {ignoreVoid: false}],
    },
  },
);
