import { Left, Right, type Either } from 'purify-ts';
import { createError, type RouterError } from '../errors';
import type { Model, Organisation, Rules, Task } from '../inventory';
import { RULES_NAME, type Member, type Rollout, type View } from '../view';
import { isVersionUsable, listAllowedModels, listServingMembers } from './allowedVersions';
import { chooseChain, type ChainCandidate, type ChainPlan, type ChainStep } from './chooseChain';
import { chooseEndpoint, type EndpointCandidate } from './chooseEndpoint';
import { chooseVersion } from './chooseVersion';
import { estimateAnswerSize, type CellEstimate, type CellName, type CellPrior } from './estimates';

/** What an entry knows of an endpoint. */
export type EndpointStatus = Omit<EndpointCandidate, 'endpoint' | 'zone' | 'slots'>;

/** What is asked of the choice of model, version and endpoint. */
export interface TargetInput {
  readonly view: View;
  readonly organisation: Organisation;
  readonly task: Task;
  /** A model's name or `auto`. */
  readonly model: string;
  readonly qualityTarget: number;
  /** Version that the session is bound to. */
  readonly bound?: { readonly model: string; readonly version: string };
  /** The session, or the request when it belongs to none. */
  readonly session: string;
  /** True for a request of a session, whose version must not change. */
  readonly hasSession: boolean;
  readonly isIdempotent: boolean;
  readonly entry: string;
  readonly zone: string;
  readonly subsetSize: number;
  /** Endpoints that this request has tried. */
  readonly excluded: ReadonlySet<string>;
  /** Time left until the caller's deadline in milliseconds. */
  readonly remainingMs?: number;
  readonly ratingTimeMs: number;
  /** False where no service rates answers. */
  readonly canRate: boolean;
  /** Three numbers in 0..1 from the caller's generator. */
  readonly draws: readonly [number, number, number];
  readonly readEndpoint: (member: Member, model: string, version: string) => EndpointStatus;
  readonly estimate: (name: CellName, prior: CellPrior) => CellEstimate;
  readonly isHalted: (rollout: Rollout) => boolean;
}

/** A chosen model, version and endpoint, with the reason for the log. */
export interface ModelTarget {
  readonly model: string;
  readonly version: string;
  readonly member: Member;
  readonly reason: string;
  /** The runs that may follow when this one is rated too low; its first step is this one. */
  readonly chain: readonly ChainStep[];
  /** Expected quality, cost and time, for the log; absent for a bound session. */
  readonly plan?: ChainPlan;
}

const STEP = 'entry.choose';
const DEFAULT_ANSWER_KILOTOKENS = 0.5;

const computePrice = (model: Model): number =>
  model.inputCostPerThousand + model.outputCostPerThousand;

/**
 * Resolves what the inventory states of a version before it is measured; the size of the answers
 * is in thousands of tokens.
 */
export const resolvePrior = (
  model: Model,
  version: string,
  size: number = DEFAULT_ANSWER_KILOTOKENS,
): CellPrior => {
  const known = model.versions.find((item) => item.name === version);
  return {
    quality: known?.priorQuality ?? model.priorQuality,
    timeMs: model.priorLatencyMs,
    cost: computePrice(model) * size,
  };
};

interface ServedModel {
  readonly model: Model;
  readonly version: string;
}

const createCandidate = (
  question: TargetInput,
  { model, version }: ServedModel,
  size?: number,
): ChainCandidate => {
  const { organisation, task, estimate } = question;
  const name = { organisation: organisation.name, task: task.name, model: model.name, version };
  const prior = resolvePrior(model, version, size);
  return {
    model: model.name,
    version,
    first: estimate({ ...name, isEscalated: false }, prior),
    escalated: estimate({ ...name, isEscalated: true }, prior),
  };
};

const listServed = (question: TargetInput): readonly ServedModel[] => {
  const { view, organisation, model: wanted, excluded } = question;
  return listAllowedModels(view, organisation)
    .filter((model) => wanted === 'auto' || model.name === wanted)
    .flatMap((model) => {
      const version = chooseVersion(question, model);
      if (version === undefined) return [];
      const members = listServingMembers(view, model.name, version);
      const isServed = members.some((member) => !excluded.has(member.endpoint));
      return isServed ? [{ model, version }] : [];
    });
};

const listCandidates = (question: TargetInput): readonly ChainCandidate[] => {
  const served = listServed(question);
  const costs = served.map((item) => {
    const { cost, runs } = createCandidate(question, item).first;
    return { cost, runs, price: computePrice(item.model) };
  });
  const size = estimateAnswerSize(costs);
  return served.map((item) => createCandidate(question, item, size));
};

const checkModelName = (question: TargetInput): Either<RouterError, true> => {
  const { model, view, organisation } = question;
  if (model !== 'auto' && !view.find('model', model)) {
    const message = `model '${model}' does not exist`;
    return Left(createError({ type: 'not_found', message, step: STEP }));
  }
  const allowed = listAllowedModels(view, organisation);
  if (allowed.some((item) => model === 'auto' || item.name === model)) return Right(true);
  const message = `model '${model}' is not allowed for this organisation`;
  return Left(createError({ type: 'not_allowed', message, step: STEP }));
};

const createUnavailable = (message: string): RouterError =>
  createError({ type: 'unavailable', message, step: STEP, retryAfterSeconds: 1 });

/** Chooses the endpoint of one run, or refuses; nothing has run then. */
export const chooseMember = (
  question: TargetInput,
  model: string,
  version: string,
): Either<RouterError, { readonly member: Member; readonly reason: string }> => {
  const { zone, entry, subsetSize, excluded, draws, hasSession, session } = question;
  const members = listServingMembers(question.view, model, version);
  const candidates = members.map((member) => ({
    endpoint: member.endpoint,
    zone: member.zone,
    slots: member.slots,
    ...question.readEndpoint(member, model, version),
  }));
  const affinity = hasSession ? session : undefined;
  const pair = [draws[0], draws[1]] as const;
  const choice = chooseEndpoint({
    candidates,
    zone,
    entry,
    subsetSize,
    affinity,
    excluded,
    draws: pair,
  });
  const member = members.find((item) => item.endpoint === choice?.endpoint);
  if (choice && member) return Right({ member, reason: choice.reason });
  return Left(createUnavailable(`no endpoint serves ${model}@${version}`));
};

const chooseBound = (
  question: TargetInput,
  bound: { readonly model: string; readonly version: string },
): Either<RouterError, ModelTarget> => {
  const { model, version } = bound;
  if (!isVersionUsable(question.view, question.organisation, model, version)) {
    const message = `the session is bound to ${model}@${version}, which is withdrawn or not allowed`;
    return Left(createError({ type: 'version_withdrawn', message, step: STEP }));
  }
  return chooseMember(question, model, version).map(({ member, reason }) => ({
    model,
    version,
    member,
    reason: `session bound, ${reason}`,
    chain: [{ model, version }],
  }));
};

const resolvePlan = (question: TargetInput, rules: Rules | undefined): ChainPlan | undefined => {
  const { task, hasSession, isIdempotent, canRate, remainingMs } = question;
  const isOrdinary = isIdempotent && task.value !== 'high';
  return chooseChain({
    candidates: listCandidates(question),
    qualityTarget: question.qualityTarget,
    // Without ratings the stated priors are all there ever is, so they are taken as they stand.
    confidence: canRate ? (rules?.confidence ?? 0.9) : 0.5,
    latencyWeight: rules?.latencyWeight ?? 0,
    ratingCost: rules?.ratingCost ?? 0,
    ratingTimeMs: question.ratingTimeMs,
    deadlineMs: remainingMs ?? task.deadlineMs,
    mayCascade: canRate && isIdempotent && !hasSession,
    mayExplore: isOrdinary,
    explorationShare: rules?.explorationShare ?? 0,
    draw: question.draws[2],
  });
};

/** Chooses model, version and endpoint for a request; a refusal has not run anything. */
export const chooseTarget = (question: TargetInput): Either<RouterError, ModelTarget> => {
  if (question.bound) return chooseBound(question, question.bound);
  return checkModelName(question).chain(() => {
    const plan = resolvePlan(question, question.view.find('rules', RULES_NAME));
    const first = plan?.steps[0];
    if (!plan || !first) {
      const message = `no endpoint serves an allowed version of '${question.model}'`;
      return Left(createUnavailable(message));
    }
    const { model, version } = first;
    return chooseMember(question, model, version).map(({ member, reason }) => ({
      model,
      version,
      member,
      reason: `${plan.reason}, ${reason}`,
      chain: plan.steps,
      plan,
    }));
  });
};
