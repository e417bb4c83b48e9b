import {
  chooseTarget,
  formatRolloutName,
  isRolloutOpen,
  resolvePrior,
  type CellEstimate,
  type CellName,
  type ChainStep,
  type Learning,
  type RunOutcome,
  type TargetInput,
} from '../decisions';
import { createError } from '../errors';
import type { Logger } from '../log';
import { isMemberLive, RULES_NAME, type Member, type View } from '../view';
import { createEndpointTable } from './endpointTable';
import type { RunRequest } from './runTypes';

/** A chosen endpoint. Model and version are empty for a plain service. */
export interface Choice {
  readonly model: string;
  readonly version: string;
  readonly member: Member;
  readonly reason: string;
  /** The runs of the cascade, this one first. Empty for a plain service. */
  readonly chain: readonly ChainStep[];
  /** Whether this run follows another model's answer that was rated too low. */
  readonly isEscalated: boolean;
  /** Whether this run tries out a cheaper model. Its answer is always rated. */
  readonly isExploration: boolean;
}

/** The version that a session is bound to. */
export interface Binding {
  readonly model: string;
  readonly version: string;
}

/** End of a run, as recorded for the estimates. */
export type RunEnd =
  | { readonly type: 'answered'; readonly cost: number; readonly timeMs: number }
  | { readonly type: 'failed' }
  | { readonly type: 'overloaded' }
  | { readonly type: 'rated'; readonly score: number };

/** Chooses targets from the current view, learned estimates and the load from this entry. */
export interface TargetChooser {
  readonly choose: (
    request: RunRequest,
    bound: Binding | undefined,
    excluded: ReadonlySet<string>,
  ) => Choice;
  /** Chooses the endpoint for a later step of a cascade. */
  readonly chooseNext: (
    request: RunRequest,
    step: ChainStep,
    excluded: ReadonlySet<string>,
  ) => Choice;
  readonly updateLoad: (endpoint: string, change: number, isUrgent: boolean) => void;
  /** Records a load that an endpoint reported. */
  readonly recordLoad: (endpoint: string, load: number) => void;
  /** Estimates a run. Returns undefined for a plain service. */
  readonly estimate: (request: RunRequest, choice: Choice) => CellEstimate | undefined;
  readonly recordEnd: (request: RunRequest, choice: Choice, end: RunEnd) => void;
  readonly log: (request: RunRequest, choice: Choice, attempt: number) => void;
}

/** Options of a target chooser. */
export interface TargetChooserOptions {
  readonly view: View;
  readonly entry: string;
  readonly zone: string;
  readonly learning: Learning;
  readonly canRate: boolean;
  /** Returns a random number in 0..1. */
  readonly readRandom: () => number;
  /** Returns milliseconds of a monotonic clock. */
  readonly readNow: () => number;
  readonly log: Logger;
}

const SUBSET_SIZE = 24;
const RATING_TIME_MS = 200;

const HEALTH_OUTCOMES: Readonly<Record<Exclude<RunEnd['type'], 'rated'>, RunOutcome>> = {
  answered: 'ok',
  failed: 'failed',
  overloaded: 'overloaded',
};

/** Creates the target chooser of one entry. */
export const createTargetChooser = (options: TargetChooserOptions): TargetChooser => {
  const { view, entry, zone, learning, canRate, readRandom, readNow, log } = options;
  const endpoints = createEndpointTable(readNow);

  const createTargetInput = (
    request: RunRequest,
    excluded: ReadonlySet<string>,
    bound: Binding | undefined,
  ): TargetInput => {
    const rules = view.find('rules', RULES_NAME);
    const { organisation, task, idempotent, session, requestId } = request;
    const names = view.list('member').map((member) => member.endpoint);
    const ejected = endpoints.listEjected(names);
    const isUrgent = task.class === 'urgent';
    return {
      view,
      organisation,
      task,
      model: request.model ?? 'auto',
      qualityTarget: task.qualityTarget ?? organisation.qualityTarget ?? rules?.qualityTarget ?? 0,
      bound,
      session: session ?? requestId,
      hasSession: session !== undefined,
      isIdempotent: idempotent,
      entry,
      zone,
      subsetSize: SUBSET_SIZE,
      excluded,
      ratingTimeMs: RATING_TIME_MS,
      canRate,
      draws: [readRandom(), readRandom(), readRandom()],
      readEndpoint: (member, model, version) =>
        endpoints.read(member, model, version, { ejected, isUrgent }),
      estimate: (name, prior) => learning.estimates.estimate(name, prior, readNow()),
      isHalted: (rollout) => learning.findHaltReason(rollout) !== undefined,
    };
  };

  const chooseModel = (
    request: RunRequest,
    bound: Binding | undefined,
    excluded: ReadonlySet<string>,
  ): Choice => {
    const target = chooseTarget(createTargetInput(request, excluded, bound)).unsafeCoerce();
    const { model, version, member, reason, chain, plan } = target;
    const isExploration = plan?.reason === 'exploration';
    return { model, version, member, reason, chain, isEscalated: false, isExploration };
  };

  const chooseService = (service: string, excluded: ReadonlySet<string>): Choice => {
    const member = view
      .list('member')
      .filter((item) => item.service === service && isMemberLive(view, item))
      .filter((item) => !excluded.has(item.endpoint))
      .sort((a, b) => endpoints.readLoad(a.endpoint) - endpoints.readLoad(b.endpoint))[0];
    const reason = 'least loaded endpoint of the service';
    const plain = { model: '', version: '', chain: [], isEscalated: false, isExploration: false };
    if (member) return { ...plain, member, reason };
    const message = `no endpoint serves '${service}'`;
    throw createError({ type: 'unavailable', message, step: 'entry.choose', retryAfterSeconds: 1 });
  };

  const createCellName = (request: RunRequest, choice: Choice): CellName => ({
    organisation: request.organisation.name,
    task: request.task.name,
    model: choice.model,
    version: choice.version,
    isEscalated: choice.isEscalated,
  });

  const estimate: TargetChooser['estimate'] = (request, choice) => {
    const model = view.find('model', choice.model);
    if (!model) return undefined;
    const prior = resolvePrior(model, choice.version);
    return learning.estimates.estimate(createCellName(request, choice), prior, readNow());
  };

  const recordEnd: TargetChooser['recordEnd'] = (request, choice, end) => {
    const { model, version, member } = choice;
    const now = readNow();
    if (end.type !== 'rated') {
      endpoints.recordOutcome(member.endpoint, model, version, HEALTH_OUTCOMES[end.type]);
    }
    if (model === '' || end.type === 'overloaded') return;
    learning.record({
      name: createCellName(request, choice),
      isHighValue: request.task.value === 'high',
      observation: end,
      rollout: view.find('rollout', model),
      now,
    });
  };

  return {
    choose: (request, bound, excluded) =>
      request.service === undefined
        ? chooseModel(request, bound, excluded)
        : chooseService(request.service, excluded),
    chooseNext: (request, step, excluded) => {
      const bound = { model: step.model, version: step.version };
      const choice = chooseModel(request, bound, excluded);
      return { ...choice, reason: 'escalated', isEscalated: true };
    },
    updateLoad: endpoints.updateLoad,
    recordLoad: endpoints.recordLoad,
    estimate,
    recordEnd,
    log: (request, choice, attempt) => {
      const { model, version, member, reason } = choice;
      const organisation = request.organisation.name;
      const { endpoint } = member;
      const { requestId } = request;
      const rollout = view.find('rollout', model);
      const step = isRolloutOpen(rollout) ? `${formatRolloutName(rollout)}:${rollout.step}` : '';
      const plain = { requestId, organisation, model, version, endpoint, attempt, reason };
      log.info(step === '' ? plain : { ...plain, rollout: step }, 'routed');
    },
  };
};
