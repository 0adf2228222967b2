/** Sends the output of a generation as server-sent events or as a document. */
import type {Context} from 'hono';

import type {OutputPart, OutputReader} from '../../core/edges/index.js';
import {OutputPartKind} from '../../core/edges/index.js';
import type {Supervisor} from '../../core/supervision/index.js';
import {runOrElse, TaskName} from '../../core/supervision/index.js';
import {EventStreamWriter} from './event-stream-writer.js';
import type {Refusal} from '../../core/errors/index.js';
import {Executed, RefusalReason} from '../../core/errors/index.js';
import {createProblem, createProblemResponse} from './problem.js';
import type {CompletionFormatter} from './completion-formatter.js';

interface EventFields {
  readonly event?: string;
  readonly id?: string;
  readonly data: string;
}

/** The output of a generation, and the format in which it is sent. */
export interface CompletionResponseOptions {
  readonly ctx: Context;
  readonly reader: OutputReader;
  readonly formatter: CompletionFormatter;
  /** Whether an event stream has an event with the number of tokens. */
  readonly includeUsage: boolean;
  readonly supervisor: Supervisor;
}

/**
 * Sends one event per part of the output. If the first part is a refusal, the
 * response is a problem document instead.
 *
 * @example
 * return streamCompletion({ctx, reader, formatter, includeUsage: false});
 */
export async function streamCompletion(
  options: CompletionResponseOptions,
): Promise<Response> {
  const {ctx, reader} = options;
  const close = createClose(options);
  ctx.req.raw.signal.addEventListener('abort', close);
  const first = await reader.next();
  if (first.kind === OutputPartKind.REFUSED) {
    reader.close();
    return createProblemResponse(first.refusal);
  }
  const out = new EventStreamWriter(ctx, close);
  const task = {name: TaskName.GENERATION, requestId: reader.requestId};
  const failed = await runOrElse({
    supervisor: options.supervisor,
    task,
    work: () => writeParts(out, first, options),
    orElse: () => FAILED_EVENT,
  });
  reader.close();
  await out.write(failed);
  return out.end();
}

/** Writes all parts; returns what is to be written after them. */
async function writeParts(
  out: EventStreamWriter,
  first: OutputPart,
  options: CompletionResponseOptions,
): Promise<string> {
  const {reader} = options;
  if (reader.restarted) {
    const data = JSON.stringify({discard: true});
    await out.write(formatEvent({event: 'restart', data}));
  }
  let part: OutputPart = first;
  while (!out.isClosed) {
    await out.write(formatPart(part, options));
    if (part.kind !== OutputPartKind.TOKENS) break;
    part = await reader.next();
  }
  return '';
}

/**
 * Sends one document once the output is complete; a problem document if the
 * generation is refused.
 *
 * @example
 * return sendCompletion({ctx, reader, formatter, includeUsage: false});
 */
export async function sendCompletion(
  options: CompletionResponseOptions,
): Promise<Response> {
  const {ctx, reader, formatter} = options;
  ctx.req.raw.signal.addEventListener('abort', createClose(options));
  let text = '';
  for (;;) {
    const part = await reader.next();
    if (part.kind === OutputPartKind.TOKENS) {
      text += joinTokens(part);
      continue;
    }
    reader.close();
    if (part.kind === OutputPartKind.REFUSED) {
      return createProblemResponse(part.refusal);
    }
    const {finishReason: reason, completionTokens} = part;
    const usage = {completionTokens};
    return ctx.json(
      formatter.formatCompletion({text, reason, usage}) as object,
    );
  }
}

/** Creates the listener that closes the reader once the caller is gone. */
function createClose({
  reader,
  supervisor,
}: CompletionResponseOptions): () => void {
  const {requestId} = reader;
  const close = supervisor.guard({name: TaskName.GENERATION, requestId}, () =>
    reader.close(),
  );
  return () => close();
}

function formatPart(
  part: OutputPart,
  options: CompletionResponseOptions,
): string {
  const {formatter, includeUsage} = options;
  switch (part.kind) {
    case OutputPartKind.TOKENS: {
      const data = JSON.stringify(formatter.formatDelta(joinTokens(part)));
      return formatEvent({id: part.eventId, data});
    }
    case OutputPartKind.FINISHED: {
      const {eventId, finishReason, completionTokens} = part;
      const end = JSON.stringify(formatter.formatEnd(finishReason));
      const events = [formatEvent({id: eventId, data: end})];
      if (includeUsage) {
        const usage = formatter.formatUsage({completionTokens});
        events.push(formatEvent({data: JSON.stringify(usage)}));
      }
      events.push(formatEvent({data: '[DONE]'}));
      return events.join('');
    }
    case OutputPartKind.REFUSED:
      return formatRefusal(part.refusal);
  }
}

function formatRefusal(refusal: Refusal): string {
  const data = JSON.stringify(createProblem(refusal));
  return formatEvent({event: 'error', data});
}

function joinTokens(part: OutputPart): string {
  if (part.kind !== OutputPartKind.TOKENS) return '';
  return part.tokens.map((token) => token.text).join('');
}

function formatEvent({event, id, data}: EventFields): string {
  const eventLine = event === undefined ? '' : `event: ${event}\n`;
  const idLine = id === undefined ? '' : `id: ${id}\n`;
  return `${eventLine}${idLine}data: ${data}\n\n`;
}

/** Ends a stream of which a part could not be written. */
const FAILED_EVENT = formatRefusal({
  reason: RefusalReason.TARGET_FAILED,
  ran: Executed.UNKNOWN,
  detail: 'the answer could not be sent',
});
