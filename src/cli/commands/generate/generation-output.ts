import type {EventSourceMessage} from 'eventsource-parser';
import {
  array,
  Codec,
  type GetType,
  Maybe,
  nullable,
  optional,
  string,
} from 'purify-ts';

import type {ProblemDocument} from '../../http/index.js';
import {parseProblem} from '../../http/index.js';
import type {StreamEnd} from './types.js';
import {StreamEndKind} from './types.js';

/** Data of the event that ends the output. */
const DONE_DATA = '[DONE]';

/** Types of events that carry no text; text events have no type. */
enum EventType {
  /** The output so far is to be discarded; new output starts at position 0. */
  RESTART = 'restart',
  /** A problem document that ends the output. */
  ERROR = 'error',
}

const CHUNK = Codec.interface({
  choices: array(
    Codec.interface({
      text: string,
      finish_reason: optional(nullable(string)),
    }),
  ),
});

type Chunk = GetType<typeof CHUNK>;

/** Receives the output while it is generated. */
export interface OutputListener {
  onText(text: string): void;
  onRestart(): void;
}

/** Assembles the output of a generation from the events of its streams. */
export class GenerationOutput {
  private parts: string[] = [];
  private currentEventId: string | undefined;
  private currentFinishReason: string | undefined;
  private restartCount = 0;

  constructor(private readonly listener: OutputListener) {}

  /** The text received since the last restart. */
  get text(): string {
    return this.parts.join('');
  }

  /** Id of the last processed event; undefined before the first one. */
  get lastEventId(): string | undefined {
    return this.currentEventId;
  }

  /** Why the engine ended the output; undefined before its end. */
  get finishReason(): string | undefined {
    return this.currentFinishReason;
  }

  /** Number of times that the output was restarted. */
  get restarts(): number {
    return this.restartCount;
  }

  /** Processes an event; returns how the stream ended if the event ends it. */
  onEvent(event: EventSourceMessage): StreamEnd | undefined {
    switch (event.event) {
      case EventType.RESTART:
        return this.restart(event);
      case EventType.ERROR:
        return parseErrorEvent(event);
      default:
        return this.append(event);
    }
  }

  private restart({id}: EventSourceMessage): undefined {
    this.parts = [];
    this.currentFinishReason = undefined;
    this.currentEventId = id;
    this.restartCount++;
    this.listener.onRestart();
  }

  private append({id, data}: EventSourceMessage): StreamEnd | undefined {
    if (data === DONE_DATA) {
      return {kind: StreamEndKind.DONE};
    }
    const chunk = parseChunk(data);
    if (chunk === undefined) {
      const detail = 'an event has an unknown shape';
      return {kind: StreamEndKind.BROKEN, detail};
    }
    this.currentEventId = id ?? this.currentEventId;
    this.appendChunk(chunk);
    return undefined;
  }

  private appendChunk(chunk: Chunk): void {
    const [choice] = chunk.choices;
    if (choice === undefined) {
      return;
    }
    this.currentFinishReason = choice.finish_reason ?? this.currentFinishReason;
    if (choice.text !== '') {
      this.parts.push(choice.text);
      this.listener.onText(choice.text);
    }
  }
}

function parseChunk(data: string): Chunk | undefined {
  return Maybe.encase((): unknown => JSON.parse(data))
    .chain((value) => CHUNK.decode(value).toMaybe())
    .extract();
}

function parseErrorEvent({data}: EventSourceMessage): StreamEnd {
  return parseProblem(data).caseOf<StreamEnd>({
    Just: (problem: ProblemDocument) => ({
      kind: StreamEndKind.REFUSED,
      problem,
    }),
    Nothing: () => ({kind: StreamEndKind.BROKEN, detail: data}),
  });
}
