import { Readable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { listAllowedModels } from '../decisions';
import { convertToRouterError, createError, formatErrorBody } from '../errors';
import type { LeaseClient } from '../lease';
import type { RequestRecord } from '../ledger';
import type { Organisation } from '../inventory';
import type { Logger } from '../log';
import type { CallerMetrics } from '../metrics';
import { findOrganisation } from './authorise';
import { findTask, parseChatBody } from './chatRequest';
import type { LedgerClient } from './ledgerClient';
import type { RequestRunner } from './requestRunner';
import type { RunAnswer, RunRequest } from './runTypes';

/** What the caller API needs. */
export interface CallerApiParts {
  readonly lease: LeaseClient;
  readonly ledger: LedgerClient;
  readonly runner: RequestRunner;
  readonly log: Logger;
  readonly isStopping: () => boolean;
  readonly metrics: CallerMetrics;
}

const CHAT_PATH = '/v1/chat/completions';
const HEADER_LIMIT = 256;

const readHeader = (request: FastifyRequest, name: string): string | undefined => {
  const value = request.headers[name];
  const text = Array.isArray(value) ? value[0] : value;
  if (text !== undefined && (text.length === 0 || text.length > HEADER_LIMIT)) {
    const message = `header '${name}' must have 1 to ${HEADER_LIMIT} characters`;
    throw createError({ type: 'invalid_request', message, step: 'entry.parse' });
  }
  return text;
};

const readOrganisation = (parts: CallerApiParts, request: FastifyRequest): Organisation => {
  const organisation = findOrganisation(parts.lease.view, request.headers.authorization);
  parts.metrics.recordOrganisation(request, organisation.name);
  return organisation;
};

const checkReady = (parts: CallerApiParts): void => {
  if (parts.lease.isValid() && !parts.isStopping()) return;
  throw createError({
    type: 'unavailable',
    message: 'this entry admits nothing now',
    step: 'entry.admit',
    retryAfterSeconds: 1,
  });
};

const createCallerSignal = (reply: FastifyReply): AbortSignal => {
  const controller = new AbortController();
  reply.raw.once('close', () => {
    if (!reply.raw.writableFinished) controller.abort();
  });
  return controller.signal;
};

// Once the head is sent, an error can only be told inside the stream.
async function* relayWithErrors(
  answer: RunAnswer,
  requestId: string,
  recordPiece: () => void,
): AsyncGenerator<Buffer> {
  try {
    for await (const piece of answer.pieces) {
      recordPiece();
      yield piece;
    }
  } catch (cause) {
    const error = convertToRouterError(cause, 'entry.stream', '', 'ran');
    if (!answer.contentType.startsWith('text/event-stream')) throw error;
    const body = JSON.stringify(formatErrorBody(error, requestId));
    yield Buffer.from(`event: error\ndata: ${body}\n\n`);
  }
}

const sendAnswer = (
  parts: CallerApiParts,
  request: FastifyRequest,
  reply: FastifyReply,
  answer: RunAnswer,
): FastifyReply => {
  const recordPiece = (): void => parts.metrics.recordPiece(request, answer.model);
  if (answer.model !== '') {
    reply.header('x-oleanderfront-model', answer.model);
    reply.header('x-oleanderfront-version', answer.version);
  }
  return reply
    .code(answer.status)
    .header('x-request-id', request.id)
    .header('content-type', answer.contentType)
    .send(Readable.from(relayWithErrors(answer, request.id, recordPiece), { objectMode: false }));
};

const createChatRequest = (
  parts: CallerApiParts,
  request: FastifyRequest,
  organisation: Organisation,
  signal: AbortSignal,
  isDeferred: boolean,
): RunRequest => {
  const body = parseChatBody(request.body);
  const task = findTask(parts.lease.view, body.metadata?.task);
  const key = readHeader(request, 'idempotency-key');
  return {
    requestId: request.id,
    organisation,
    task,
    model: body.model,
    session: readHeader(request, 'x-session-id'),
    key,
    idempotent: task.idempotent,
    keepsAnswer: isDeferred || key !== undefined,
    method: 'POST',
    path: CHAT_PATH,
    contentType: 'application/json',
    body: Buffer.from(JSON.stringify(body)),
    signal,
  };
};

const runDeferred = async (parts: CallerApiParts, request: RunRequest): Promise<void> => {
  const answer = await parts.runner.run(request);
  for await (const piece of answer.pieces) if (piece.length === 0) continue;
};

const deferRequest = async (
  parts: CallerApiParts,
  reply: FastifyReply,
  request: RunRequest,
): Promise<FastifyReply> => {
  await parts.ledger.propose({
    type: 'defer',
    organisation: request.organisation.name,
    requestId: request.requestId,
    session: request.session ?? request.requestId,
    idempotent: request.idempotent,
    request: { path: request.path, headers: {}, body: request.body.toString('base64') },
    at: Date.now(),
  });
  runDeferred(parts, request).catch((cause) => {
    const { message } = convertToRouterError(cause, 'entry.deferred');
    parts.log.warn({ requestId: request.requestId, reason: message }, 'deferred request failed');
  });
  return reply
    .code(202)
    .header('x-request-id', request.requestId)
    .header('location', `/v1/requests/${request.requestId}`)
    .send({ id: request.requestId, status: 'queued' });
};

const formatRecord = (record: RequestRecord) => ({
  id: record.requestId,
  status: record.state,
  ...(record.answer
    ? {
        response: {
          status: record.answer.status,
          content_type: record.answer.contentType,
          body: Buffer.from(record.answer.body, 'base64').toString('utf8'),
        },
      }
    : {}),
});

const registerChatRoute = (app: FastifyInstance, parts: CallerApiParts): void => {
  app.post(CHAT_PATH, async (request, reply) => {
    const organisation = readOrganisation(parts, request);
    checkReady(parts);
    const isDeferred = readHeader(request, 'prefer') === 'respond-async';
    const signal = isDeferred ? new AbortController().signal : createCallerSignal(reply);
    const runRequest = createChatRequest(parts, request, organisation, signal, isDeferred);
    if (isDeferred) return deferRequest(parts, reply, runRequest);
    return sendAnswer(parts, request, reply, await parts.runner.run(runRequest));
  });
};

const registerModelsRoute = (app: FastifyInstance, parts: CallerApiParts): void => {
  app.get('/v1/models', async (request) => {
    const organisation = readOrganisation(parts, request);
    const data = listAllowedModels(parts.lease.view, organisation).map((model) => ({
      id: model.name,
      object: 'model',
      created: 0,
      owned_by: 'oleanderfront',
    }));
    return { object: 'list', data };
  });
};

const registerRequestRoute = (app: FastifyInstance, parts: CallerApiParts): void => {
  app.get('/v1/requests/:id', async (request) => {
    const organisation = readOrganisation(parts, request);
    const { id } = request.params as { readonly id: string };
    const record = await parts.ledger.find(organisation.name, id);
    if (record) return formatRecord(record);
    throw createError({
      type: 'not_found',
      message: 'no such request',
      step: 'entry.requests',
    });
  });
};

const findIdempotence = (parts: CallerApiParts, service: string, method: string, path: string) => {
  const known = parts.lease.view.find('service', service);
  const routes = known?.routes.filter(
    (item) => item.method === method && path.startsWith(item.path),
  );
  const longest = [...(routes ?? [])].sort((a, b) => b.path.length - a.path.length)[0];
  return longest?.idempotent ?? false;
};

const registerServiceRoute = (app: FastifyInstance, parts: CallerApiParts): void => {
  app.register(async (scope) => {
    scope.removeAllContentTypeParsers();
    scope.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) =>
      done(null, body),
    );
    scope.all('/v1/services/:service/*', async (request, reply) => {
      const organisation = readOrganisation(parts, request);
      checkReady(parts);
      const { service } = request.params as { readonly service: string };
      if (!organisation.services.includes(service)) {
        const message = `service '${service}' is unknown or not allowed`;
        throw createError({ type: 'not_allowed', message, step: 'entry.choose' });
      }
      const path = request.url.slice(`/v1/services/${service}`.length);
      const key = readHeader(request, 'idempotency-key');
      const answer = await parts.runner.run({
        requestId: request.id,
        organisation,
        task: findTask(parts.lease.view, undefined),
        service,
        key,
        idempotent: findIdempotence(parts, service, request.method, path),
        keepsAnswer: key !== undefined,
        method: request.method,
        path,
        contentType: request.headers['content-type'] ?? 'application/octet-stream',
        body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
        signal: createCallerSignal(reply),
      });
      return sendAnswer(parts, request, reply, answer);
    });
  });
};

/** Registers the routes towards callers. */
export const registerCallerApi = (app: FastifyInstance, parts: CallerApiParts): void => {
  registerChatRoute(app, parts);
  registerModelsRoute(app, parts);
  registerRequestRoute(app, parts);
  registerServiceRoute(app, parts);
};

const DRAIN_POLL_MS = 20;

/** Waits until no request is under way. */
export const waitForIdle = async (runner: RequestRunner): Promise<void> => {
  while (runner.countActive() > 0) await sleep(DRAIN_POLL_MS);
};
