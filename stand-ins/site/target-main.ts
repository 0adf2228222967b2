/** Program that runs a target, controlled by its parent and reporting to it. */
import {announceReady, readFlags} from '../lib/program.js';
import {handleParentCommands} from './parent-commands.js';
import type {EarlyResponse} from './early-response.js';
import type {TargetFault} from './target-fault.js';
import {RemoteCopyNetwork} from './copy-network.js';
import {StandInTarget} from './target.js';

/** Message to the parent; times are Unix times in milliseconds. */
export type TargetReport =
  | {
      readonly type: 'arrived';
      readonly atMs: number;
      readonly attemptId: string;
      /** Value of `KEY_HEADER`; empty if the request has none. */
      readonly key: string;
      /** False if the request was rejected. */
      readonly hasRun: boolean;
    }
  | {
      readonly type: 'ended';
      readonly atMs: number;
      readonly attemptId: string;
    };

const flags = readFlags({
  values: ['id', 'events', 'first-ms', 'gap-ms', 'work-ms'],
  switches: [],
});

const sendReport = (event: TargetReport): void => void process.send?.(event);

const target = new StandInTarget({
  id: flags.text('id', 'i-1'),
  copyNetwork: new RemoteCopyNetwork(),
  pace: {
    events: flags.number('events', 0),
    firstMs: flags.number('first-ms', 0),
    gapMs: flags.number('gap-ms', 0),
  },
  workMs: flags.number('work-ms', 0),
  observer: {
    onArrived: (arrival) =>
      sendReport({type: 'arrived', atMs: Date.now(), ...arrival}),
    onEnded: (attemptId) =>
      sendReport({type: 'ended', atMs: Date.now(), attemptId}),
  },
});
await target.start();
handleParentCommands({
  setFault: (fault: TargetFault) => {
    target.fault = fault;
  },
  setEarlyResponse: (kind?: EarlyResponse) => {
    target.earlyResponse = kind;
  },
  setDark: (isUnresponsive: boolean) => {
    target.isUnresponsive = isUnresponsive;
  },
});
announceReady({port: Number(target.listenAddress.split(':')[1])});
