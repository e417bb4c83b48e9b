import type { FastifyInstance, FastifyReply } from 'fastify';
import { createError } from '../errors';
import type { RequestRecord } from '../ledger';
import { findOrganisation } from './authorise';
import { checkReady, type CallerApiContext } from './replies';
import type { RunRequest } from './runTypes';
import { computeBodyHash } from './settlement';

const formatStatus = (record: RequestRecord): string =>
  record.state === 'not_run' ? 'failed' : record.state;

const replyAccepted = (reply: FastifyReply, requestId: string, status: string): FastifyReply =>
  reply
    .code(202)
    .header('x-request-id', requestId)
    .header('location', `/v1/requests/${requestId}`)
    .send({ id: requestId, status });

const createDeferError = (reason: string, type: 'overloaded' | 'conflict') =>
  createError({
    type,
    message: reason,
    step: 'entry.defer',
    retryAfterSeconds: type === 'overloaded' ? 1 : undefined,
  });

/** Stores a deferred request and replies with 202 once a quorum has it. */
export const deferRequest = async (
  context: CallerApiContext,
  reply: FastifyReply,
  request: RunRequest,
): Promise<FastifyReply> => {
  const { requestId, organisation, key, session, idempotent, path, body } = request;
  const claim = key === undefined ? undefined : { key, bodyHash: computeBodyHash(request) };
  const result = await context.ledger.propose({
    type: 'defer',
    organisation: organisation.name,
    requestId,
    session: session ?? requestId,
    idempotent,
    request: {
      path,
      headers: session === undefined ? {} : { 'x-session-id': session },
      body: body.toString('base64'),
    },
    claim,
    at: Date.now(),
  });
  if (result.type === 'known') {
    return replyAccepted(reply, result.record.requestId, formatStatus(result.record));
  }
  if (result.type === 'refused') throw createDeferError(result.reason, 'overloaded');
  if (result.type === 'keyConflict') {
    throw createDeferError(
      'the idempotency key was already used with another request body',
      'conflict',
    );
  }
  if (result.type === 'keyExpired') {
    throw createDeferError('the idempotency key is older than its retention period', 'conflict');
  }
  context.handleDeferred();
  return replyAccepted(reply, requestId, 'queued');
};

const formatResponse = (record: RequestRecord) => {
  if (!record.answer) return {};
  const { status, contentType, body, model, version } = record.answer;
  const text = Buffer.from(body, 'base64').toString('utf8');
  return { response: { status, content_type: contentType, model, version, body: text } };
};

const formatRecord = (record: RequestRecord) => ({
  id: record.requestId,
  status: formatStatus(record),
  ...formatResponse(record),
  ...(record.error ? { error: record.error } : {}),
});

/** Registers `GET /v1/requests/:id`. */
export const registerRequestRoutes = (app: FastifyInstance, context: CallerApiContext): void => {
  app.get('/v1/requests/:id', async (request) => {
    checkReady(context);
    const organisation = findOrganisation(context.lease.view, request.headers.authorization);
    const { id } = request.params as { readonly id: string };
    const record = await context.ledger.find(organisation.name, id);
    if (record) return formatRecord(record);
    throw createError({
      type: 'not_found',
      message: 'the request does not exist',
      step: 'entry.requests',
    });
  });
};
