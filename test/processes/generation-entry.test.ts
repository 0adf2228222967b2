/** The entry is lost under a generation. */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

import {
  createAsk,
  createFaultCases,
  expectedText,
  FaultSite,
  Victim,
} from '../support/fault-site.js';

const CASES = createFaultCases([Victim.ENTRY]);

describe('a generation that loses its entry', () => {
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
    expect(transcript.restarts).toBe(0);
  });
});
