import { createHash } from 'node:crypto';
import { createError, type Outcome, type RouterError } from '../errors';
import type { LedgerResult, StoredAnswer, Usage } from '../ledger';
import type { View } from '../view';
import type { LedgerClient } from './ledgerClient';
import type { RunAnswer, RunRequest } from './runTypes';
import type { Binding, Choice } from './targetChoice';

/** The ledger as one entry's requests use it. */
export interface Settlement {
  readonly bindSession: (request: RunRequest, wanted: Binding) => Promise<Binding>;
  /** Claims the request's key; gives the stored answer of an earlier request with it. */
  readonly claim: (request: RunRequest) => Promise<RunAnswer | undefined>;
  readonly recordIntent: (
    request: RunRequest,
    choice: Choice,
    attempt: number,
  ) => Promise<LedgerResult>;
  readonly settle: (
    request: RunRequest,
    outcome: Outcome,
    usage: readonly Usage[],
    answer?: StoredAnswer,
  ) => Promise<LedgerResult>;
  readonly computeUsage: (choice: Choice, inputTokens: number, outputTokens: number) => Usage;
}

const MICRO = 1_000_000;
const TOKENS_PER_PRICE = 1_000;

const computeBodyHash = (request: RunRequest): string =>
  createHash('sha256')
    .update(`${request.method} ${request.path}\n`)
    .update(request.body)
    .digest('hex');

const readStoredAnswer = (answer: StoredAnswer): RunAnswer => {
  async function* readPieces(): AsyncGenerator<Buffer> {
    yield Buffer.from(answer.body, 'base64');
  }
  const { status, contentType, model, version } = answer;
  return { status, contentType, model, version, pieces: readPieces() };
};

const createKeyConflict = (): RouterError =>
  createError({
    type: 'conflict',
    message: 'the idempotency key was used with another body',
    step: 'entry.claim',
  });

const createKeyInUse = (): RouterError =>
  createError({
    type: 'conflict',
    message: 'a request with this key runs or has ended without an answer',
    step: 'entry.claim',
    outcome: 'unknown',
    retryAfterSeconds: 1,
  });

/** Creates the settlement of one entry. */
export const createSettlement = (ledger: LedgerClient, view: View): Settlement => {
  const bindSession: Settlement['bindSession'] = async (request, wanted) => {
    const result = await ledger.propose({
      type: 'bindSession',
      organisation: request.organisation.name,
      session: request.session!,
      ...wanted,
      at: Date.now(),
    });
    return result.type === 'bound' ? result : wanted;
  };

  const claim: Settlement['claim'] = async (request) => {
    if (request.key === undefined) return undefined;
    const result = await ledger.propose({
      type: 'claim',
      organisation: request.organisation.name,
      key: request.key,
      bodyHash: computeBodyHash(request),
      requestId: request.requestId,
      at: Date.now(),
    });
    if (result.type === 'claimed') return undefined;
    if (result.type === 'keyConflict') throw createKeyConflict();
    if (result.type === 'known' && result.record.answer) {
      return readStoredAnswer(result.record.answer);
    }
    throw createKeyInUse();
  };

  return {
    bindSession,
    claim,
    recordIntent: (request, choice, attempt) =>
      ledger.propose({
        type: 'intent',
        organisation: request.organisation.name,
        requestId: request.requestId,
        attempt,
        agent: choice.member.node,
        incarnation: choice.member.incarnation,
        model: choice.model,
        version: choice.version,
        at: Date.now(),
      }),
    settle: (request, outcome, usage, answer) =>
      ledger.propose({
        type: 'settle',
        organisation: request.organisation.name,
        requestId: request.requestId,
        outcome,
        usage,
        answer,
        reporter: 'entry',
        at: Date.now(),
      }),
    computeUsage: ({ model: name, version }, inputTokens, outputTokens) => {
      const model = view.find('model', name);
      const input = (model?.inputCostPerThousand ?? 0) * inputTokens;
      const output = (model?.outputCostPerThousand ?? 0) * outputTokens;
      const cost = Math.round(((input + output) / TOKENS_PER_PRICE) * MICRO) / MICRO;
      return { model: name, version, inputTokens, outputTokens, cost };
    },
  };
};
