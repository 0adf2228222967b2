import {defineConfig} from 'vitest/config';

// Process tests start real daemons from dist/, so files run a few at a time.
export const MAX_WORKERS = 4;

// eslint-disable-next-line no-restricted-syntax -- the runner asks for it.
export default defineConfig({
  test: {
    include: ['test/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: MAX_WORKERS,
    fileParallelism: true,
  },
});
