import { Left, Right, type Either } from 'purify-ts';
import { createError, type RouterError } from '../errors';
import type { Model, Organisation, Rules, Task } from '../inventory';
import { RULES_NAME, type Member, type Rollout, type View } from '../view';
import { isVersionUsable, listAllowedModels, listServingMembers } from './allowedVersions';
import { chooseChain, type ChainCandidate, type ChainPlan, type ChainStep } from './chooseChain';
import { chooseEndpoint, type EndpointCandidate } from './chooseEndpoint';
import { chooseVersion } from './chooseVersion';
import { estimateAnswerSize, type CellEstimate, type CellName, type CellPrior } from './estimates';

/** State of an endpoint as the entry sees it. */
export type EndpointStatus = Omit<EndpointCandidate, 'endpoint' | 'zone' | 'slots'>;

/** Input for the choice of model, version and endpoint. */
export interface TargetInput {
  readonly view: View;
  readonly organisation: Organisation;
  readonly task: Task;
  /** A model's name or `auto`. */
  readonly model: string;
  readonly qualityTarget: number;
  /** Version that the session is bound to. */
  readonly bound?: { readonly model: string; readonly version: string };
  /** Session id, or request id for a request without a session. */
  readonly session: string;
  /** Whether the request belongs to a session, whose version must not change. */
  readonly hasSession: boolean;
  readonly isIdempotent: boolean;
  readonly entry: string;
  readonly zone: string;
  readonly subsetSize: number;
  /** Endpoints that this request has already tried. */
  readonly excluded: ReadonlySet<string>;
  /** Time left until the caller's deadline in milliseconds. */
  readonly remainingMs?: number;
  readonly ratingTimeMs: number;
  /** Whether a service rates answers. */
  readonly canRate: boolean;
  /** Three random numbers in 0..1 from the caller's generator. */
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
  /** All steps of the chain: this run first, then the runs that follow when it is rated too low. */
  readonly chain: readonly ChainStep[];
  /** Expected quality, cost and time, for the log; absent for a bound session. */
  readonly plan?: ChainPlan;
}

const ERROR_STEP = 'entry.choose';
const DEFAULT_ANSWER_KILOTOKENS = 0.5;

const computePrice = (model: Model): number =>
  model.inputCostPerThousand + model.outputCostPerThousand;

/**
 * Returns the prior of a version from the inventory, for use before it is measured. The answer size
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
  input: TargetInput,
  { model, version }: ServedModel,
  size?: number,
): ChainCandidate => {
  const { organisation, task, estimate } = input;
  const name = { organisation: organisation.name, task: task.name, model: model.name, version };
  const prior = resolvePrior(model, version, size);
  return {
    model: model.name,
    version,
    first: estimate({ ...name, isEscalated: false }, prior),
    escalated: estimate({ ...name, isEscalated: true }, prior),
  };
};

const listServed = (input: TargetInput): readonly ServedModel[] => {
  const { view, organisation, model: requestedModel, excluded } = input;
  return listAllowedModels(view, organisation)
    .filter((model) => requestedModel === 'auto' || model.name === requestedModel)
    .flatMap((model) => {
      const version = chooseVersion(input, model);
      if (version === undefined) return [];
      const members = listServingMembers(view, model.name, version);
      const isServed = members.some((member) => !excluded.has(member.endpoint));
      return isServed ? [{ model, version }] : [];
    });
};

const listCandidates = (input: TargetInput): readonly ChainCandidate[] => {
  const served = listServed(input);
  const costs = served.map((item) => {
    const { cost, runs } = createCandidate(input, item).first;
    return { cost, runs, price: computePrice(item.model) };
  });
  const size = estimateAnswerSize(costs);
  return served.map((item) => createCandidate(input, item, size));
};

const checkModelName = (input: TargetInput): Either<RouterError, true> => {
  const { model, view, organisation } = input;
  if (model !== 'auto' && !view.find('model', model)) {
    const message = `model '${model}' does not exist`;
    return Left(createError({ type: 'not_found', message, step: ERROR_STEP }));
  }
  const allowed = listAllowedModels(view, organisation);
  if (allowed.some((item) => model === 'auto' || item.name === model)) return Right(true);
  const message = `model '${model}' is not allowed for this organisation`;
  return Left(createError({ type: 'not_allowed', message, step: ERROR_STEP }));
};

const createUnavailable = (message: string): RouterError =>
  createError({ type: 'unavailable', message, step: ERROR_STEP, retryAfterSeconds: 1 });

/** Chooses the endpoint of one run, or returns an error; after an error nothing has run. */
export const chooseMember = (
  input: TargetInput,
  model: string,
  version: string,
): Either<RouterError, { readonly member: Member; readonly reason: string }> => {
  const { zone, entry, subsetSize, excluded, draws, hasSession, session } = input;
  const members = listServingMembers(input.view, model, version);
  const candidates = members.map((member) => ({
    endpoint: member.endpoint,
    zone: member.zone,
    slots: member.slots,
    ...input.readEndpoint(member, model, version),
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
  input: TargetInput,
  bound: { readonly model: string; readonly version: string },
): Either<RouterError, ModelTarget> => {
  const { model, version } = bound;
  if (!isVersionUsable(input.view, input.organisation, model, version)) {
    const message = `the session is bound to ${model}@${version}, which is withdrawn or not allowed`;
    return Left(createError({ type: 'version_withdrawn', message, step: ERROR_STEP }));
  }
  return chooseMember(input, model, version).map(({ member, reason }) => ({
    model,
    version,
    member,
    reason: `session bound, ${reason}`,
    chain: [{ model, version }],
  }));
};

const resolvePlan = (input: TargetInput, rules: Rules | undefined): ChainPlan | undefined => {
  const { task, hasSession, isIdempotent, canRate, remainingMs } = input;
  const isOrdinary = isIdempotent && task.value !== 'high';
  return chooseChain({
    candidates: listCandidates(input),
    qualityTarget: input.qualityTarget,
    // Without ratings there is no other data than the configured priors, so no margin is applied.
    confidence: canRate ? (rules?.confidence ?? 0.9) : 0.5,
    latencyWeight: rules?.latencyWeight ?? 0,
    ratingCost: rules?.ratingCost ?? 0,
    ratingTimeMs: input.ratingTimeMs,
    deadlineMs: remainingMs ?? task.deadlineMs,
    mayCascade: canRate && isIdempotent && !hasSession,
    mayExplore: isOrdinary,
    explorationShare: rules?.explorationShare ?? 0,
    draw: input.draws[2],
  });
};

/** Chooses model, version and endpoint for a request; after an error nothing has run. */
export const chooseTarget = (input: TargetInput): Either<RouterError, ModelTarget> => {
  if (input.bound) return chooseBound(input, input.bound);
  return checkModelName(input).chain(() => {
    const plan = resolvePlan(input, input.view.find('rules', RULES_NAME));
    const first = plan?.steps[0];
    if (!plan || !first) {
      const message = `no endpoint serves an allowed version of '${input.model}'`;
      return Left(createUnavailable(message));
    }
    const { model, version } = first;
    return chooseMember(input, model, version).map(({ member, reason }) => ({
      model,
      version,
      member,
      reason: `${plan.reason}, ${reason}`,
      chain: plan.steps,
      plan,
    }));
  });
};
