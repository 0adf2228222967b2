/** Test suite for generations that lose some of their processes. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import type {Transcript} from '../../tools/lab/caller.js';
import type {FaultCase, Component} from './fault-site.js';
import {
  createRequest,
  createFaultCases,
  expectedTextOf,
  FaultSite,
} from './fault-site.js';

/** Tests that a generation completes after every fault at every stage. */
export function describeComponentLoss(options: {
  /** The lost components, as the suite's title names them. */
  lost: string;
  components: readonly Component[];
  /** Checks the restarts that the caller received; by default there is none. */
  checkRestarts?: (transcript: Transcript, faultCase: FaultCase) => void;
}): void {
  const {lost, components, checkRestarts = expectNoRestart} = options;

  describe(`a generation that loses ${lost}`, () => {
    let faultSite: FaultSite;

    beforeAll(async () => {
      faultSite = await FaultSite.create();
    });

    afterAll(() => faultSite?.close());

    it.each(createFaultCases(components))(
      'is complete after $name',
      async ({name, ...faultCase}) => {
        const req = createRequest(name);
        const transcript = await faultSite.runWithFault({req, faultCase});
        expect(transcript.errors).toEqual([]);
        expect(transcript.text).toBe(expectedTextOf(req));
        expect(transcript.doneEvents).toBe(1);
        expect(transcript.finishReason).toBe('length');
        checkRestarts(transcript, faultCase);
      },
    );
  });
}

function expectNoRestart({restarts}: Transcript): void {
  expect(restarts).toBe(0);
}
