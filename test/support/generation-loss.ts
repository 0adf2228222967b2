/** The suite of a generation that loses some of its processes. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import type {Transcript} from '../../tools/lab/caller.js';
import type {FaultCase, Victim} from './fault-site.js';
import {
  createAsk,
  createFaultCases,
  expectedText,
  FaultSite,
} from './fault-site.js';

/** Declares that a generation is whole, whenever and however it loses them. */
export function describeLoss(options: {
  /** What is lost, as the suite's title names it. */
  loses: string;
  victims: readonly Victim[];
  /** How often callers may have seen the answer begin anew: never. */
  checkRestarts?: (transcript: Transcript, faultCase: FaultCase) => void;
}): void {
  const {loses, victims, checkRestarts = expectNoRestart} = options;

  describe(`a generation that loses ${loses}`, () => {
    let faultSite: FaultSite;

    beforeAll(async () => {
      faultSite = await FaultSite.create();
    });

    afterAll(() => faultSite?.close());

    it.each(createFaultCases(victims))(
      'is whole after $name',
      async ({name, ...faultCase}) => {
        const ask = createAsk(name);
        const transcript = await faultSite.run({ask, faultCase});
        expect(transcript.errors).toEqual([]);
        expect(transcript.text).toBe(expectedText(ask));
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
