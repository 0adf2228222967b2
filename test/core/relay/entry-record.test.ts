import {describe, expect, it} from 'vitest';

import {parseIpEndpoint} from '../../../src/core/codec/ip-endpoint.js';
import {ENTRY_RECORD} from '../../../src/core/relay/index.js';

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

describe('parseIpEndpoint', () => {
  it('splits at the last colon', () => {
    expect(parseIpEndpoint('::1:7200')).toEqual({address: '::1', port: 7_200});
  });

  it.each(['10.0.0.7:0x50', '10.0.0.7:99999', '999.0.0.1:80', '10.0.0.7:'])(
    'refuses %s',
    (text) => {
      expect(parseIpEndpoint(text)).toBeUndefined();
    },
  );
});
