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

/** Data of the event that ends an answer. */
const DONE_DATA = '[DONE]';

/** Event types besides the plain ones, which carry text. */
enum EventType {
  /** The answer so far is void; a new one starts from position 0. */
  RESTART = 'restart',
  /** A problem document that ends the answer. */
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

/** Learns of the answer as it comes. */
export interface OutputListener {
  onText(text: string): void;
  onRestart(): void;
}

/** An answer put together from the events of one or more streams. */
export class GenerationOutput {
  private parts: string[] = [];
  private eventId: string | undefined;
  private finish: string | undefined;
  private restartCount = 0;

  constructor(private readonly listener: OutputListener) {}

  /** The text so far. */
  get text(): string {
    return this.parts.join('');
  }

  /** Id of the last event that was taken in. */
  get lastEventId(): string | undefined {
    return this.eventId;
  }

  /** Why the engine ended the answer. */
  get finishReason(): string | undefined {
    return this.finish;
  }

  /** How often the answer started over. */
  get restarts(): number {
    return this.restartCount;
  }

  /** Takes an event in; returns the end where the event is the last. */
  onEvent(event: EventSourceMessage): StreamEnd | undefined {
    switch (event.event) {
      case EventType.RESTART:
        return this.restart(event);
      case EventType.ERROR:
        return resolveErrorEvent(event);
      default:
        return this.append(event);
    }
  }

  private restart({id}: EventSourceMessage): undefined {
    this.parts = [];
    this.finish = undefined;
    this.eventId = id;
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
    this.eventId = id ?? this.eventId;
    this.take(chunk);
    return undefined;
  }

  private take(chunk: Chunk): void {
    const [choice] = chunk.choices;
    if (choice === undefined) {
      return;
    }
    this.finish = choice.finish_reason ?? this.finish;
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

function resolveErrorEvent({data}: EventSourceMessage): StreamEnd {
  return parseProblem(data).caseOf<StreamEnd>({
    Just: (problem: ProblemDocument) => ({
      kind: StreamEndKind.REFUSED,
      problem,
    }),
    Nothing: () => ({kind: StreamEndKind.BROKEN, detail: data}),
  });
}
