import { Left, Right, type Either } from 'purify-ts';
import { createError, type RouterError } from '../errors';
import type { Model, Organisation } from '../inventory';
import { isMemberLive, isVersionWithdrawn, type Member, type View } from '../view';

/** What is asked of the choice of model, version and endpoint. */
export interface TargetQuestion {
  readonly view: View;
  readonly organisation: Organisation;
  /** A model's name or `auto`. */
  readonly model: string;
  readonly qualityTarget: number;
  /** Version that the session is bound to. */
  readonly bound?: { readonly model: string; readonly version: string };
  /** In-flight work per endpoint, as this entry knows it. */
  readonly readLoad: (endpoint: string) => number;
  readonly zone: string;
  /** Endpoints that this request has tried. */
  readonly excluded: ReadonlySet<string>;
  /** Two numbers in 0..1 from the caller's generator. */
  readonly draws: readonly [number, number];
}

/** A chosen model, version and endpoint, with the reason for the log. */
export interface ModelTarget {
  readonly model: string;
  readonly version: string;
  readonly member: Member;
  readonly reason: string;
}

const STEP = 'entry.choose';

/** Lists the models that an organisation may use, in the order of the inventory. */
export const listAllowedModels = (view: View, organisation: Organisation): readonly Model[] =>
  view
    .list('model')
    .filter((model) => organisation.models.some((item) => item.name === model.name));

/** Says whether an organisation may use a version of a model. */
export const isVersionAllowed = (
  organisation: Organisation,
  model: string,
  version: string,
): boolean => {
  const allowed = organisation.models.find((item) => item.name === model);
  if (!allowed) return false;
  return allowed.versions === undefined || allowed.versions.includes(version);
};

const isUsable = (question: TargetQuestion, model: string, version: string): boolean =>
  isVersionAllowed(question.organisation, model, version) &&
  !isVersionWithdrawn(question.view, model, version);

/** Lists the live endpoints that serve a version. */
export const listMembers = (view: View, model: string, version: string): readonly Member[] =>
  view
    .list('member')
    .filter(
      (member) =>
        isMemberLive(view, member) &&
        member.serves.some((item) => item.model === model && item.version === version),
    );

/** Chooses an endpoint: own zone first, then the less loaded of two drawn ones. */
export const chooseEndpoint = (
  members: readonly Member[],
  question: Pick<TargetQuestion, 'readLoad' | 'zone' | 'excluded' | 'draws'>,
): Member | undefined => {
  const fresh = members.filter((member) => !question.excluded.has(member.endpoint));
  const near = fresh.filter((member) => member.zone === question.zone);
  const pool = near.length > 0 ? near : fresh;
  const [first, second] = question.draws.map((draw) => pool[Math.floor(draw * pool.length)]);
  if (!first || !second) return first ?? second;
  return question.readLoad(second.endpoint) < question.readLoad(first.endpoint) ? second : first;
};

const computeCost = (model: Model): number =>
  model.inputCostPerThousand + model.outputCostPerThousand;

const sortByCost = (models: readonly Model[]): readonly Model[] =>
  [...models].sort((a, b) => computeCost(a) - computeCost(b));

const listCandidates = (question: TargetQuestion): readonly Model[] => {
  const allowed = listAllowedModels(question.view, question.organisation);
  if (question.model !== 'auto') return allowed.filter((model) => model.name === question.model);
  const good = allowed.filter((model) => model.priorQuality >= question.qualityTarget);
  const best = [...allowed].sort((a, b) => b.priorQuality - a.priorQuality);
  return good.length > 0 ? sortByCost(good) : best;
};

const checkModelName = (question: TargetQuestion): Either<RouterError, readonly Model[]> => {
  const { model, view } = question;
  if (model !== 'auto' && !view.find('model', model)) {
    const message = `model '${model}' does not exist`;
    return Left(createError({ type: 'not_found', message, step: STEP }));
  }
  const candidates = listCandidates(question);
  if (candidates.length > 0) return Right(candidates);
  const message = `model '${model}' is not allowed for this organisation`;
  return Left(createError({ type: 'not_allowed', message, step: STEP }));
};

const chooseBound = (
  question: TargetQuestion,
  bound: { readonly model: string; readonly version: string },
): Either<RouterError, ModelTarget> => {
  const { model, version } = bound;
  if (!isUsable(question, model, version)) {
    const message = `the session is bound to ${model}@${version}, which is withdrawn or not allowed`;
    return Left(createError({ type: 'version_withdrawn', message, step: STEP }));
  }
  const member = chooseEndpoint(listMembers(question.view, model, version), question);
  if (member) return Right({ model, version, member, reason: 'session bound' });
  const message = `no endpoint serves ${model}@${version}`;
  return Left(createError({ type: 'unavailable', message, step: STEP, retryAfterSeconds: 1 }));
};

/** Chooses model, version and endpoint for a request; a refusal has not run anything. */
export const chooseTarget = (question: TargetQuestion): Either<RouterError, ModelTarget> => {
  if (question.bound) return chooseBound(question, question.bound);
  return checkModelName(question).chain((candidates) => {
    for (const candidate of candidates) {
      const { name: model, stableVersion: version } = candidate;
      if (!isUsable(question, model, version)) continue;
      const member = chooseEndpoint(listMembers(question.view, model, version), question);
      if (member) return Right({ model, version, member, reason: 'cheapest at the target' });
    }
    const message = `no endpoint serves an allowed version of '${question.model}'`;
    return Left(createError({ type: 'unavailable', message, step: STEP, retryAfterSeconds: 1 }));
  });
};
