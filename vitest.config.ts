import {defineConfig} from 'vitest/config';

// Process tests start real daemons from dist/, so files run a few at a time.
export const MAX_WORKERS = 4;

const CROWDS = 'test/crowds/**/*.test.ts';

// eslint-disable-next-line no-restricted-syntax -- the runner asks for it.
export default defineConfig({
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    projects: [
      {
        extends: true,
        test: {
          name: 'main',
          include: ['test/**/*.test.ts'],
          exclude: [CROWDS],
          maxWorkers: MAX_WORKERS,
          fileParallelism: true,
          sequence: {groupOrder: 0},
        },
      },
      {
        // Crowds take the whole machine, so they run after the others.
        extends: true,
        test: {
          name: 'crowds',
          include: [CROWDS],
          maxWorkers: 1,
          fileParallelism: false,
          sequence: {groupOrder: 1},
        },
      },
    ],
  },
});
