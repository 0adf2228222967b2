import {describe, expect, it} from 'vitest';

import {ENTRY_RECORD, splitPeerAddress} from '../../../src/core/relay/index.js';

const RECORD = {vm: 'edge-1', dataCentre: 'a', address: '10.0.0.7:7200'};

describe('ENTRY_RECORD', () => {
  it.each([{address: '10.0.0.7:7200'}, {address: '::1:7200'}])(
    'takes the address $address',
    ({address}) => {
      const decoded = ENTRY_RECORD.decode({...RECORD, address});
      expect(decoded.isRight()).toBe(true);
    },
  );

  // To connect to some of them would throw.
  it.each([
    {address: ''},
    {address: '10.0.0.7'},
    {address: '10.0.0.7:'},
    {address: '10.0.0.7:x'},
    {address: '10.0.0.7:0'},
    {address: '10.0.0.7:-1'},
    {address: '10.0.0.7:65536'},
    {address: '10.0.0.7:1.5'},
    {address: 'a name:7200'},
    {address: 7_200},
    {address: undefined},
  ])('refuses the address $address', ({address}) => {
    const decoded = ENTRY_RECORD.decode({...RECORD, address});
    expect(decoded.isLeft()).toBe(true);
  });
});

describe('splitPeerAddress', () => {
  it('splits at the last colon', () => {
    expect(splitPeerAddress('::1:7200')).toEqual({address: '::1', port: 7_200});
  });
});
