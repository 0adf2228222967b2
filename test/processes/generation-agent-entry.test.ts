/** The agent and the entry are lost under a generation at once. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {
  createAsk,
  createFaultCases,
  expectedText,
  Fault,
  FaultSite,
  Moment,
  Victim,
} from '../support/fault-site.js';

const CASES = createFaultCases([Victim.AGENT, Victim.ENTRY]);

describe('a generation that loses its agent and its entry', () => {
  let faultSite: FaultSite;

  beforeAll(async () => {
    faultSite = await FaultSite.create();
  });

  afterAll(() => faultSite?.close());

  it.each(CASES)('is whole after $name', async ({name, ...faultCase}) => {
    const ask = createAsk(name);
    const transcript = await faultSite.run({ask, faultCase});
    expect(transcript.errors).toEqual([]);
    expect(transcript.text).toBe(expectedText(ask));
    expect(transcript.ends).toBe(1);
    expect(transcript.finishReason).toBe('length');
    const {fault, moment} = faultCase;
    // An entry that is cut off from callers still has its copy for others.
    const isLost = fault !== Fault.CUT;
    const isSeen = moment === Moment.MIDDLE || moment === Moment.BEFORE_FINAL;
    if (!isLost) expect(transcript.restarts).toBe(0);
    else if (isSeen) expect(transcript.restarts).toBeGreaterThan(0);
  });
});
