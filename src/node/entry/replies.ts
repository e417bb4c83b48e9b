import { Readable } from 'node:stream';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { convertToRouterError, createError, formatErrorBody } from '../errors';
import type { LeaseClient } from '../lease';
import type { LedgerClient } from '../ledger';
import type { Logger } from '../log';
import type { RequestRunner } from './requestRunner';
import type { RunAnswer } from './runTypes';

/** Dependencies of the caller API. */
export interface CallerApiContext {
  readonly lease: LeaseClient;
  readonly ledger: LedgerClient;
  readonly runner: RequestRunner;
  readonly log: Logger;
  readonly answerTimeoutMs: number;
  readonly isStopping: () => boolean;
  /** Called after a deferred request was stored. */
  readonly handleDeferred: () => void;
}

const HEADER_LIMIT = 256;
const PRINTABLE = /^[\x21-\x7e]+$/;

/** Reads a header that holds an identifier. Throws if its value is invalid. */
export const readHeader = (request: FastifyRequest, name: string): string | undefined => {
  const value = request.headers[name];
  if (value === undefined) return undefined;
  const isValid =
    typeof value === 'string' && value.length <= HEADER_LIMIT && PRINTABLE.test(value);
  if (isValid) return value;
  const message = `header '${name}' must have 1 to ${HEADER_LIMIT} printable ASCII characters without spaces`;
  throw createError({ type: 'invalid_request', message, step: 'entry.parse' });
};

/** Returns whether the caller sent `prefer: respond-async`. */
export const hasPreferAsync = (request: FastifyRequest): boolean => {
  const { prefer } = request.headers;
  const text = Array.isArray(prefer) ? prefer.join(',') : (prefer ?? '');
  return text.split(/[,;]/).some((item) => item.trim().toLowerCase() === 'respond-async');
};

/** Throws unless this entry may admit new work. */
export const checkReady = (context: CallerApiContext): void => {
  if (context.lease.isValid() && !context.isStopping()) return;
  throw createError({
    type: 'unavailable',
    message: 'this entry admits no requests: it holds no lease or is stopping',
    step: 'entry.admit',
    retryAfterSeconds: 1,
  });
};

// The caller may have disconnected earlier, when nothing listened yet.
const handleClose = ({ raw }: FastifyReply, listener: () => void): void => {
  if (raw.destroyed) listener();
  else raw.once('close', listener);
};

/**
 * Creates a signal that aborts when the answer takes too long. It also aborts when the caller
 * disconnects, unless the answer is to be stored.
 */
export const createCallerSignal = (
  context: CallerApiContext,
  reply: FastifyReply,
  keepsAnswer: boolean,
): AbortSignal => {
  const timeout = AbortSignal.timeout(context.answerTimeoutMs);
  if (keepsAnswer) return timeout;
  const controller = new AbortController();
  handleClose(reply, () => {
    if (!reply.raw.writableFinished) controller.abort();
  });
  return AbortSignal.any([controller.signal, timeout]);
};

// After the head is sent, an error can only be reported inside the stream.
async function* relayWithErrors(answer: RunAnswer, requestId: string): AsyncGenerator<Buffer> {
  try {
    yield* answer.chunks;
  } catch (cause) {
    const error = convertToRouterError(cause, 'entry.stream', '', 'ran');
    if (!answer.contentType.startsWith('text/event-stream')) throw error;
    const body = JSON.stringify(formatErrorBody(error, requestId));
    yield Buffer.from(`event: error\ndata: ${body}\n\n`);
  }
}

/** Streams an answer to the caller. */
export const sendAnswer = (
  reply: FastifyReply,
  requestId: string,
  answer: RunAnswer,
): FastifyReply => {
  // A disconnect ends the run, even before the first chunk is read.
  handleClose(reply, () => {
    answer.chunks.return(undefined).catch(() => {});
  });
  Object.entries(answer.headers).forEach(([name, value]) => reply.header(name, value));
  if (answer.model !== '') {
    reply.header('x-oleanderfront-model', answer.model);
    reply.header('x-oleanderfront-version', answer.version);
  }
  return reply
    .code(answer.status)
    .header('x-request-id', requestId)
    .header('content-type', answer.contentType)
    .send(Readable.from(relayWithErrors(answer, requestId), { objectMode: false }));
};
