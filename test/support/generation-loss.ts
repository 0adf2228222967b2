/** The suite of a generation that loses some of its processes. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import type {Transcript} from '../../tools/lab/caller.js';
import type {FaultCase, Component} from './fault-site.js';
import {
  createRequest,
  createFaultCases,
  expectedTextOf,
  FaultSite,
} from './fault-site.js';

/** Declares that a generation is whole, whenever and however it loses them. */
export function describeComponentLoss(options: {
  /** What is lost, as the suite's title names it. */
  lost: string;
  components: readonly Component[];
  /** How often callers may have seen the answer begin anew: never. */
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
      'is whole after $name',
      async ({name, ...faultCase}) => {
        const req = createRequest(name);
        const transcript = await faultSite.runWithFault({req, faultCase});
        expect(transcript.errors).toEqual([]);
        expect(transcript.text).toBe(expectedTextOf(req));
        expect(transcript.ends).toBe(1);
        expect(transcript.finishReason).toBe('length');
        checkRestarts(transcript, faultCase);
      },
    );
  });
}

function expectNoRestart({restarts}: Transcript): void {
  expect(restarts).toBe(0);
}
