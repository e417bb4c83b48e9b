import murmurhash from 'murmurhash';
import { chooseFirstModel, chooseSecondModel } from '../../src/node/decisions';
import type { ChoiceRequest, EndpointChoice, RoutingFacts } from '../../src/node/gateway';
import type { EndpointReport } from '../../src/node/registry';
import type { RandomSource } from './randomSource';
import type { Engine } from './engine';
import { createRoute, SERVICE, type EmulatedGateway } from './gateway';
import type { Pattern } from './pattern';
import type { EmulatedRequest } from './requests';

/** The input of a policy when it chooses a model or an endpoint. */
export interface PolicyView {
  readonly pattern: Pattern;
  readonly facts: RoutingFacts;
  readonly gateway: EmulatedGateway;
  readonly engines: readonly Engine[];
  readonly reports: readonly EndpointReport[];
  readonly draws: RandomSource;
  readonly request: EmulatedRequest;
  readonly now: number;
  /** Priority of an earlier run of the request, if there was one. */
  readonly earlierPriority: number | undefined;
  /** Engines that were lost while they ran the request. */
  readonly tried: ReadonlySet<string>;
}

/** A run that has started on a smaller model. */
export interface RunInProgress {
  readonly model: string;
  readonly confidence: number;
  readonly runs: number;
}

/** Chooses models and endpoints. The `live` policy calls the production code. */
export interface Policy {
  /** Whether the gateways hold back or refuse requests under scarcity. */
  readonly hasAdmission?: boolean;
  readonly chooseFirst: (view: PolicyView) => string;
  /** Returns the model that answers instead, if any. */
  readonly chooseSecond: (view: PolicyView, run: RunInProgress) => string | undefined;
  readonly place: (view: PolicyView, model: string) => EndpointChoice;
}

const MIN_CONFIDENCE = 60;

const createChoiceRequest = (view: PolicyView, model: string): ChoiceRequest => {
  const { pattern, request, now } = view;
  return {
    route: createRoute(pattern, request.task),
    caller: {
      requestId: request.id,
      host: 'emulator',
      apiKey: undefined,
      deadlineMs: request.task.deadlineMs,
      model: '*',
      promptTokens: request.promptTokens,
      answerTokens: request.answerTokens,
      promptBlocks: request.promptBlocks,
      session: undefined,
      lastEventId: undefined,
      forwarded: [],
    },
    model,
    tried: view.tried,
    rank: request.task.rank,
    earlierPriority: view.earlierPriority,
    timeLeftMs: request.arrivedAt + request.task.targetMs - now,
  };
};

const placeLive: Policy['place'] = (view, model) =>
  view.gateway.chooser.choose(view.facts, createChoiceRequest(view, model), view.now);

const estimateLive = (view: PolicyView) => (model: string) => {
  const choice = placeLive(view, model);
  return choice.type === 'placed' ? choice.predictedMs + (choice.displacedMs ?? 0) : Infinity;
};

const createModelChoiceInput = (view: PolicyView, hasRoomForLarger: boolean) => ({
  hasRoomForLarger,
  models: view.pattern.models.map(({ name }) => name),
  timeLeftMs: view.request.arrivedAt + view.request.task.targetMs - view.now,
  rank: view.request.task.rank,
  estimateFirstToken: estimateLive(view),
});

const createPlaced = (endpoint: EndpointReport): EndpointChoice => ({
  type: 'placed',
  endpoint,
  reason: 'baseline',
  predictedMs: 0,
  queueMs: 0,
  uncachedTokens: 0,
  prefillMs: 0,
  versionBasis: { reason: 'no roll-out' },
});

const readModels = ({ pattern }: PolicyView) => ({
  smallest: pattern.models[0]!.name,
  largest: pattern.models.at(-1)!.name,
});

// The plain cascade: the smallest model first, the largest after an answer of low confidence.
const CASCADE: Pick<Policy, 'chooseFirst' | 'chooseSecond'> = {
  chooseFirst: (view) => readModels(view).smallest,
  chooseSecond: (view, { model, confidence, runs }) => {
    const { largest } = readModels(view);
    return model !== largest && runs < 3 && confidence < MIN_CONFIDENCE ? largest : undefined;
  },
};

const findCheapest = <T>(items: readonly T[], readCost: (item: T) => number): T =>
  items.reduce((best, item) => (readCost(item) < readCost(best) ? item : best));

const hasRoomForLarger = ({ pattern, request, facts, gateway }: PolicyView): boolean =>
  gateway.admission.hasRoomForLarger({
    route: createRoute(pattern, request.task),
    rank: request.task.rank,
    service: SERVICE,
    table: facts.table,
    gatewayCount: pattern.gateways,
  });

const createLive = (hasAdmission: boolean): Policy => {
  const createInput = (view: PolicyView) =>
    createModelChoiceInput(view, !hasAdmission || hasRoomForLarger(view));
  return {
    hasAdmission,
    chooseFirst: (view) => chooseFirstModel(createInput(view)) ?? readModels(view).smallest,
    chooseSecond: (view, { model, confidence, runs }) =>
      chooseSecondModel({
        ...createInput(view),
        model,
        confidence,
        attemptsLeft: 3 - runs,
        hasBudget: true,
      }),
    place: placeLive,
  };
};

const chooseOracleEngine = (view: PolicyView, model: string): Engine => {
  const found = view.pattern.models.find(({ name }) => name === model)!;
  return findCheapest(
    view.engines,
    (engine) =>
      engine.readState().queueMs + engine.estimatePrefillMs(found, view.request.promptBlocks),
  );
};

/** The policies that can be compared, by name. */
export const POLICIES: Readonly<Record<string, Policy>> = {
  live: createLive(true),
  /** The production decisions without the admission under scarcity. */
  'accept-all': createLive(false),
  random: {
    ...CASCADE,
    place: ({ reports, draws }) => createPlaced(reports[draws.sampleIndex(reports.length)]!),
  },
  'least-in-flight': {
    ...CASCADE,
    place: ({ gateway, reports, now }) =>
      createPlaced(findCheapest(reports, ({ id }) => gateway.loads.findTotal(id, now).running)),
  },
  'home-only': {
    ...CASCADE,
    place: ({ request, reports }, model) =>
      createPlaced(
        findCheapest(
          reports,
          ({ id }) => -murmurhash.v3(`${model}|${request.promptBlocks[0]!.id}|${id}`),
        ),
      ),
  },
  'largest-always': {
    chooseFirst: (view) => readModels(view).largest,
    chooseSecond: () => undefined,
    place: placeLive,
  },
  'smallest-always': {
    chooseFirst: (view) => readModels(view).smallest,
    chooseSecond: () => undefined,
    place: placeLive,
  },
  // Knows the actual difficulty, queues and prefix caches. Chooses the cheapest model that is good
  // enough and answers in time, or else the smallest model.
  oracle: {
    chooseFirst: (view) => {
      const { pattern, request, now } = view;
      const leftMs = request.arrivedAt + request.task.targetMs - now;
      const good = pattern.models.filter(({ quality }) => request.difficulty < quality);
      const inTime = good.find((model) => {
        const engine = chooseOracleEngine(view, model.name);
        return (
          engine.readState().queueMs + engine.estimatePrefillMs(model, request.promptBlocks) <
          leftMs
        );
      });
      return (inTime ?? pattern.models[0]!).name;
    },
    chooseSecond: () => undefined,
    place: (view, model) => {
      const engine = chooseOracleEngine(view, model);
      return createPlaced(view.reports.find(({ id }) => id === engine.id)!);
    },
  },
};
