import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { listAllowedModels } from '../decisions';
import { createError } from '../errors';
import type { Organisation } from '../inventory';
import { findOrganisation } from './authorise';
import { findTask, parseChatBody } from './chatRequest';
import {
  checkReady,
  createCallerSignal,
  hasPreferAsync,
  readHeader,
  sendAnswer,
  type CallerApiContext,
} from './replies';
import { deferRequest } from './requestRoutes';
import type { RunRequest } from './runTypes';

/** Path of chat completions, on the caller API and on engines. */
export const CHAT_PATH = '/v1/chat/completions';

const checkModel = (context: CallerApiContext, organisation: Organisation, model: string): void => {
  const allowed = listAllowedModels(context.lease.view, organisation);
  if (model === 'auto' || allowed.some((item) => item.name === model)) return;
  const isKnown = context.lease.view.find('model', model) !== undefined;
  const type = isKnown ? 'not_allowed' : 'not_found';
  const message = isKnown
    ? `model '${model}' is not allowed for this organisation`
    : `model '${model}' does not exist`;
  throw createError({ type, message, step: 'entry.choose' });
};

const readBody = (request: FastifyRequest): Buffer =>
  Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);

const createChatRequest = (
  context: CallerApiContext,
  request: FastifyRequest,
  reply: FastifyReply,
  organisation: Organisation,
): RunRequest => {
  const isAsync = hasPreferAsync(request);
  const body = readBody(request);
  const chat = parseChatBody(body);
  checkModel(context, organisation, chat.model);
  if (isAsync && chat.stream === true) {
    const message = 'a deferred request cannot be streamed';
    throw createError({ type: 'invalid_request', message, step: 'entry.parse' });
  }
  const task = findTask(context.lease.view, chat.metadata?.task);
  const key = readHeader(request, 'idempotency-key');
  const keepsAnswer = isAsync || key !== undefined;
  return {
    requestId: request.id,
    organisation,
    task,
    model: chat.model,
    session: readHeader(request, 'x-session-id'),
    key,
    idempotent: task.idempotent,
    keepsAnswer,
    isBuffered: chat.stream !== true,
    isDeferred: isAsync,
    firstAttempt: 0,
    method: 'POST',
    path: CHAT_PATH,
    headers: { 'content-type': 'application/json' },
    body,
    signal: createCallerSignal(context, reply, keepsAnswer),
  };
};

const registerModelsRoute = (app: FastifyInstance, context: CallerApiContext): void => {
  app.get('/v1/models', async (request) => {
    checkReady(context);
    const organisation = findOrganisation(context.lease.view, request.headers.authorization);
    const data = listAllowedModels(context.lease.view, organisation).map((model) => ({
      id: model.name,
      object: 'model',
      created: 0,
      owned_by: 'oleanderfront',
    }));
    return { object: 'list', data };
  });
};

/** Registers the routes of chat completions and of the model list. */
export const registerChatRoutes = (app: FastifyInstance, context: CallerApiContext): void => {
  registerModelsRoute(app, context);
  app.register(async (scope) => {
    scope.removeAllContentTypeParsers();
    scope.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) =>
      done(null, body),
    );
    scope.post(CHAT_PATH, async (request, reply) => {
      checkReady(context);
      const organisation = findOrganisation(context.lease.view, request.headers.authorization);
      const runRequest = createChatRequest(context, request, reply, organisation);
      if (runRequest.isDeferred) return deferRequest(context, reply, runRequest);
      return sendAnswer(reply, request.id, await context.runner.run(runRequest));
    });
  });
};
