import { PassThrough } from 'node:stream';
import type { FastifyInstance, FastifyReply } from 'fastify';
import { createError, formatErrorBody } from '../errors';
import { checkSecret, createMethod, type RpcMethods } from '../rpc';
import { attemptConfirmParams, attemptNameParams, attemptSchema, type Frame } from '../shared';
import type { Attempt } from './attempt';
import type { AttemptStore } from './attemptStore';
import { engineAnnouncementSchema, type EngineAnnouncement } from './announcements';

const KEEP_ALIVE_INTERVAL_MS = 1_000;

const waitForDrain = (stream: PassThrough): Promise<void> =>
  new Promise((resolve) => {
    stream.once('drain', resolve);
    stream.once('close', resolve);
  });

// Closing the stream only stops the reading. The attempt keeps running until it is cancelled.
const sendFrames = async (attempt: Attempt, from: number, stream: PassThrough): Promise<void> => {
  const stop = new AbortController();
  stream.once('close', () => stop.abort());
  const writeLine = (frame: Frame): boolean => stream.write(`${JSON.stringify(frame)}\n`);
  // A slow reader still has frames to receive, and keep-alives would accumulate in memory.
  const keepAlive = setInterval(() => {
    if (!stream.writableNeedDrain) writeLine({ type: 'keepAlive' });
  }, KEEP_ALIVE_INTERVAL_MS);
  try {
    for await (const frame of attempt.read(from, stop.signal)) {
      if (!writeLine(frame) && !stop.signal.aborted) await waitForDrain(stream);
    }
  } finally {
    clearInterval(keepAlive);
    stream.end();
  }
};

const replyWithFrames = (reply: FastifyReply, attempt: Attempt, from: number): FastifyReply => {
  const stream = new PassThrough();
  sendFrames(attempt, from, stream).catch(() => stream.destroy());
  return reply.header('content-type', 'application/x-ndjson').send(stream);
};

/** Registers the routes that start and resume attempt streams on the internal port. */
export const registerAttemptRoutes = (
  app: FastifyInstance,
  store: AttemptStore,
  secret: string,
): void => {
  app.post('/attempts', async (request, reply) => {
    checkSecret(request, secret, 'agent.authorise');
    const parsed = attemptSchema.safeParse(request.body);
    if (!parsed.success) {
      const message = parsed.error.issues[0]?.message ?? 'the body does not match the schema';
      throw createError({ type: 'invalid_request', message, step: 'agent.admit' });
    }
    return replyWithFrames(reply, store.admit(parsed.data), 0);
  });

  app.get('/attempts/:requestId/:attempt', async (request, reply) => {
    checkSecret(request, secret, 'agent.authorise');
    const { requestId, attempt } = request.params as Record<'requestId' | 'attempt', string>;
    const { from, incarnation } = request.query as Record<'from' | 'incarnation', string>;
    const name = { requestId, attempt: Number(attempt), incarnation: Number(incarnation) };
    const known = store.find(name);
    if (known) return replyWithFrames(reply, known, Number(from ?? 0));
    const error = createError({
      type: 'not_found',
      message: `attempt '${requestId}.${attempt}' is not known to this agent`,
      step: 'agent.resume',
      outcome: 'unknown',
    });
    return reply.code(404).send(formatErrorBody(error, requestId));
  });
};

/** Creates the RPC methods that entries call on an agent. */
export const createAgentMethods = (store: AttemptStore): RpcMethods => ({
  'attempt.cancel': createMethod(attemptNameParams, (name) => store.cancel(name)),
  'attempt.confirm': createMethod(attemptConfirmParams, ({ items }) => {
    items.forEach((item) => store.confirm(item));
    return { type: 'confirmed' };
  }),
  'attempt.refuse': createMethod(attemptNameParams, (name) => store.refuse(name)),
});

/** Registers `POST /announce`, where endpoints on the agent's host announce themselves. */
export const registerAnnounceRoute = (
  app: FastifyInstance,
  handleAnnouncement: (announcement: EngineAnnouncement) => void,
): void => {
  app.post('/announce', async (request, reply) => {
    const parsed = engineAnnouncementSchema.safeParse(request.body);
    if (!parsed.success) {
      const issue = parsed.error.issues[0];
      const message = `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'the body does not match the schema'}`;
      throw createError({ type: 'invalid_request', message, step: 'agent.announce' });
    }
    handleAnnouncement(parsed.data);
    return reply.send({ type: 'announced' });
  });
};
