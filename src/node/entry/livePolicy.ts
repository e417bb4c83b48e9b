import {
  canHedge,
  computeRatedShare,
  computeRatingShare,
  computeShare,
  createRetryBudget,
  isRolloutOpen,
  type CapRefusal,
  type ChainStep,
  type GrantHolder,
  type Learning,
} from '../decisions';
import { createError, type RouterError } from '../errors';
import type { Cap } from '../inventory';
import { RULES_NAME, type View } from '../view';
import type { AttemptPolicy } from './attemptPolicy';
import type { RatingClient } from './ratingClient';
import type { RunRequest, BufferedAnswer } from './runTypes';
import type { Choice, TargetChooser } from './targetChoice';

/** Options of the live policy. */
export interface LivePolicyOptions {
  readonly view: View;
  readonly chooser: TargetChooser;
  readonly learning: Learning;
  readonly holder: GrantHolder;
  readonly rating: RatingClient;
  /** Whether a rating service is configured. */
  readonly canRate: boolean;
  /** Requests grants from control ahead of schedule. Called when a request lacks a grant. */
  readonly requestGrants: () => void;
  readonly readRandom: () => number;
  /** Returns milliseconds of a monotonic clock. */
  readonly readNow: () => number;
}

const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 500;
const DEFAULT_RETRY_SHARE = 0.1;
const DEFAULT_RATING_SHARE = 0.1;

/** Errors that say nothing about the health of the endpoint or the version. */
const IGNORED_ERROR_TYPES: ReadonlySet<string> = new Set([
  'cancelled',
  'invalid_request',
  'too_large',
  'version_withdrawn',
  'conflict',
]);

const isCapped = (cap: Cap): boolean =>
  cap.requestsPerSecond !== undefined ||
  cap.tokensPerSecond !== undefined ||
  cap.inFlight !== undefined;

const readTokenLimit = (request: RunRequest): number => {
  if (request.model === undefined) return 0;
  try {
    const body = JSON.parse(request.body.toString('utf8')) as { readonly max_tokens?: unknown };
    return typeof body.max_tokens === 'number' ? body.max_tokens : DEFAULT_OUTPUT_TOKENS;
  } catch {
    return DEFAULT_OUTPUT_TOKENS;
  }
};

const estimateTokens = (request: RunRequest): number => {
  if (request.organisation.cap.tokensPerSecond === undefined) return 0;
  return request.body.length / CHARACTERS_PER_TOKEN + readTokenLimit(request);
};

const createCapError = (request: RunRequest, refusal: CapRefusal): RouterError =>
  createError({
    type: 'over_cap',
    message: `organisation '${request.organisation.name}' has reached its cap on ${refusal.part}`,
    step: 'entry.admit',
    retryAfterSeconds: refusal.retryAfterSeconds,
  });

interface AdmittedRequest {
  readonly tokens: number;
  used: number;
}

const findNextStep = (choice: Choice): ChainStep | undefined => {
  const index = choice.chain.findIndex((step) => step.model === choice.model);
  return index < 0 ? undefined : choice.chain[index + 1];
};

/** Creates the policy that uses learned estimates, cap grants and one retry budget. */
export const createLivePolicy = (options: LivePolicyOptions): AttemptPolicy => {
  const { view, chooser, learning, holder, rating, canRate, readRandom, readNow } = options;
  const admitted = new Map<string, AdmittedRequest>();
  const readRules = () => view.find('rules', RULES_NAME);
  const budget = createRetryBudget(() => readRules()?.retryBudget ?? DEFAULT_RETRY_SHARE);

  const fetchRating = async (
    request: RunRequest,
    answer: BufferedAnswer,
    choice: Choice,
  ): Promise<number | undefined> => {
    const score = await rating.fetchScore(request, answer);
    if (score !== undefined) chooser.recordEnd(request, choice, { type: 'rated', score });
    return score;
  };

  const hasNextStep = (choice: Choice): boolean => {
    const step = choice.chain.find((item) => item.model === choice.model);
    return step?.threshold !== undefined && findNextStep(choice) !== undefined;
  };

  const resolveRatedShare = (request: RunRequest, choice: Choice): number => {
    const rules = readRules();
    const cost = chooser.estimate(request, choice)?.cost ?? 0;
    const ratingShare = computeRatingShare(
      rules?.ratingShare ?? DEFAULT_RATING_SHARE,
      rules?.ratingCost ?? 0,
      cost,
    );
    const rollout = view.find('rollout', choice.model);
    if (!isRolloutOpen(rollout) || rollout.to !== choice.version) return ratingShare;
    const isHighValue = request.task.value === 'high';
    const share = computeShare(rules?.rollout.steps ?? [1], rollout.step, isHighValue);
    return computeRatedShare(share, ratingShare);
  };

  return {
    canEscalate: (_request, choice) => canRate && hasNextStep(choice),
    chooseNext: async (request, answer, choice) => {
      const step = choice.chain.find((item) => item.model === choice.model);
      const next = findNextStep(choice);
      if (step?.threshold === undefined || !next) return undefined;
      const score = await fetchRating(request, answer, choice);
      if (score === undefined || score >= step.threshold) return undefined;
      return { ...chooser.chooseNext(request, next, new Set()), chain: choice.chain };
    },
    computeHedgeDelayMs: (request, choice) => {
      const { class: workClass } = request.task;
      const slowTimeMs = chooser.estimate(request, choice)?.p95TimeMs;
      if (slowTimeMs === undefined) return undefined;
      const hedgeInput = { class: workClass, isIdempotent: request.idempotent, hasAnswer: false };
      const isHedged = canHedge({ ...hedgeInput, waitedMs: slowTimeMs, p95TimeMs: slowTimeMs });
      return isHedged ? slowTimeMs : undefined;
    },
    canRetry: () => budget.acquire(),
    admit: (request) => {
      const { organisation } = request;
      const tokens = estimateTokens(request);
      const refusal = holder.acquire(
        organisation.name,
        tokens,
        isCapped(organisation.cap),
        readNow(),
      );
      if (holder.isGrantMissing()) options.requestGrants();
      if (refusal) throw createCapError(request, refusal);
      budget.recordFirstRun();
      admitted.set(request.requestId, { tokens, used: 0 });
    },
    release: (request) => {
      const known = admitted.get(request.requestId);
      if (!known) return;
      admitted.delete(request.requestId);
      holder.release(request.organisation.name, known.tokens - known.used, readNow());
    },
    isRated: (request, choice) => {
      if (!canRate || choice.model === '' || hasNextStep(choice)) return false;
      return choice.isExploration || readRandom() < resolveRatedShare(request, choice);
    },
    rate: async (request, answer, choice) => {
      await fetchRating(request, answer, choice);
    },
    recordAnswer: (request, choice, { cost, timeMs, tokens }) => {
      const known = admitted.get(request.requestId);
      if (known && request.organisation.cap.tokensPerSecond !== undefined) known.used += tokens;
      chooser.recordEnd(request, choice, { type: 'answered', cost, timeMs });
      learning.removeOtherRollouts(view.list('rollout'));
    },
    recordFailure: (request, choice, error) => {
      if (IGNORED_ERROR_TYPES.has(error.type) || error.type === 'over_cap') return;
      const type = error.type === 'overloaded' ? 'overloaded' : 'failed';
      chooser.recordEnd(request, choice, { type });
    },
  };
};
