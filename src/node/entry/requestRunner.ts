import { randomUUID } from 'node:crypto';
import { convertToRouterError, createError, type RouterError } from '../errors';
import type { LeaseClient } from '../lease';
import type { Usage } from '../ledger';
import type { RpcClient } from '../rpc';
import type { AttemptRequest } from '../shared';
import { runAttempt, type AnswerFrame } from './attemptClient';
import type { RunAnswer, RunRequest } from './runTypes';
import type { Settlement } from './settlement';
import type { Binding, Choice, TargetChooser } from './targetChoice';

/** What a request runner needs. */
export interface RunnerParts {
  readonly rpc: RpcClient;
  readonly lease: LeaseClient;
  readonly settlement: Settlement;
  readonly chooser: TargetChooser;
  readonly answerTimeoutMs: number;
}

/** Runs requests: choice, claim, intent, attempt, settlement. */
export interface RequestRunner {
  readonly run: (request: RunRequest) => Promise<RunAnswer>;
  readonly createRequestId: () => string;
  readonly countActive: () => number;
}

type HeadFrame = Extract<AnswerFrame, { readonly type: 'head' }>;

interface OpenAttempt {
  readonly request: RunRequest;
  readonly choice: Choice;
  readonly attempt: number;
  readonly head: HeadFrame;
  readonly frames: AsyncGenerator<AnswerFrame>;
}

const ATTEMPTS_PER_REQUEST = 3;

const checkHead = (frame: AnswerFrame | undefined, peer: string): HeadFrame => {
  if (frame?.type === 'head') return frame;
  const message = 'the answer has no head';
  const outcome = 'ran';
  throw createError({ type: 'peer_failed', message, step: 'entry.dispatch', peer, outcome });
};

const createAttemptRequest = (
  request: RunRequest,
  choice: Choice,
  attempt: number,
  deadlineMs: number,
): AttemptRequest => ({
  requestId: request.requestId,
  attempt,
  organisation: request.organisation.name,
  incarnation: choice.member.incarnation,
  endpoint: choice.member.endpoint,
  target: request.service
    ? { kind: 'service', service: request.service }
    : { kind: 'model', model: choice.model, version: choice.version },
  class: request.task.class,
  weight: request.organisation.weight,
  deadlineMs: request.task.deadlineMs ?? deadlineMs,
  method: request.method,
  path: request.path,
  headers: { 'content-type': request.contentType },
  body: request.body.toString('base64'),
});

/** Creates the runner of one entry. */
export const createRequestRunner = (parts: RunnerParts): RequestRunner => {
  const { rpc, lease, settlement, chooser } = parts;
  let active = 0;

  const acquireEndpoint = (choice: Choice): void => {
    chooser.updateLoad(choice.member.endpoint, 1);
    active += 1;
  };

  const releaseEndpoint = (choice: Choice): void => {
    chooser.updateLoad(choice.member.endpoint, -1);
    active -= 1;
  };

  const bindSession = async (request: RunRequest): Promise<Binding | undefined> => {
    if (request.session === undefined || request.model === undefined) return undefined;
    const { model, version } = chooser.choose(request, undefined, new Set());
    return settlement.bindSession(request, { model, version });
  };

  const closeAttempt = async (open: OpenAttempt, usage: Usage | undefined): Promise<void> => {
    const { request, choice, attempt } = open;
    const { address } = choice.member;
    const name = { requestId: request.requestId, attempt };
    if (!usage) {
      await rpc.call(address, 'attempt.cancel', name);
      await settlement.settle(request, 'ran', [settlement.computeUsage(choice, 0, 0)]);
    }
    await rpc.call(address, 'attempt.confirm', name);
    releaseEndpoint(choice);
  };

  const settleEnd = async (
    open: OpenAttempt,
    usage: Usage,
    kept: readonly Buffer[],
  ): Promise<void> => {
    const { request, choice, head } = open;
    const { model, version } = choice;
    const body = Buffer.concat(kept).toString('base64');
    const answer = { status: head.status, contentType: head.contentType, body, model, version };
    await settlement.settle(request, 'ran', [usage], request.keepsAnswer ? answer : undefined);
  };

  async function* relayPieces(open: OpenAttempt): AsyncGenerator<Buffer> {
    const kept: Buffer[] = [];
    let usage: Usage | undefined;
    try {
      for await (const frame of open.frames) {
        if (frame.type === 'end') {
          usage = settlement.computeUsage(open.choice, frame.inputTokens, frame.outputTokens);
          await settleEnd(open, usage, kept);
        }
        if (frame.type !== 'data') continue;
        const piece = Buffer.from(frame.data, 'base64');
        if (open.request.keepsAnswer) kept.push(piece);
        yield piece;
      }
    } finally {
      await closeAttempt(open, usage);
    }
  }

  const startAttempt = async (
    request: RunRequest,
    choice: Choice,
    attempt: number,
  ): Promise<RunAnswer> => {
    const { address } = choice.member;
    acquireEndpoint(choice);
    try {
      const intent = settlement.recordIntent(request, choice, attempt);
      if (!request.idempotent) await intent;
      const message = createAttemptRequest(request, choice, attempt, parts.answerTimeoutMs);
      const frames = runAttempt(rpc, address, message, request.signal);
      const [first] = await Promise.all([frames.next(), intent]);
      const head = checkHead(first.value as AnswerFrame | undefined, address);
      const pieces = relayPieces({ request, choice, attempt, head, frames });
      const { status, contentType } = head;
      return { status, contentType, model: choice.model, version: choice.version, pieces };
    } catch (cause) {
      releaseEndpoint(choice);
      throw convertToRouterError(cause, 'entry.dispatch', address, 'unknown');
    }
  };

  const runAttempts = async (request: RunRequest): Promise<RunAnswer> => {
    const bound = await bindSession(request);
    const excluded = new Set<string>();
    let last: RouterError | undefined;
    for (let attempt = 0; attempt < ATTEMPTS_PER_REQUEST; attempt += 1) {
      const choice = chooser.choose(request, bound, excluded);
      chooser.log(request, choice, attempt);
      try {
        return await startAttempt(request, choice, attempt);
      } catch (cause) {
        last = cause as RouterError;
        excluded.add(choice.member.endpoint);
        const canRepeat = last.outcome === 'not_run' || request.idempotent;
        if (!canRepeat || request.signal.aborted) break;
      }
    }
    throw last!;
  };

  const run = async (request: RunRequest): Promise<RunAnswer> => {
    const stored = await settlement.claim(request);
    if (stored) return stored;
    try {
      return await runAttempts(request);
    } catch (cause) {
      const error = convertToRouterError(cause, 'entry.run');
      await settlement.settle(request, error.outcome, []).catch(() => {});
      throw error;
    }
  };

  return {
    run,
    createRequestId: () =>
      `req_${lease.incarnation().toString(36)}_${randomUUID().replaceAll('-', '')}`,
    countActive: () => active,
  };
};
