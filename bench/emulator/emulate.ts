import { computeExchangeInterval, createGapSampler } from '../../src/node/gateway';
import { createLoadAggregator, createSpeedTable } from '../../src/node/routingControl';
import { createClock, type Clock } from './clock';
import { createRandomSource, type RandomSource } from './randomSource';
import { createEngine, type Engine } from './engine';
import { createTimeFactor } from './engineSpeeds';
import { createFacts, createGateway, createReports, type EmulatedGateway } from './gateway';
import type { Pattern, PatternModel } from './pattern';
import { POLICIES, type Policy, type PolicyView } from './policies';
import { createRequestSource, type EmulatedRequest } from './requests';

/** A run that was placed on an engine. */
export interface Placement {
  readonly endpoint: string;
  readonly at: number;
  readonly prefillTokens: number;
}

/** The result of one request. */
export interface Outcome {
  readonly request: EmulatedRequest;
  readonly end: 'answered' | 'refused' | 'gave_up';
  /** Time from the caller's first attempt to the first token; infinite if there was none. */
  readonly firstTokenMs: number;
  readonly isGood: boolean;
  readonly model: string;
  readonly runs: number;
  /** Engines of the runs, with the time at which each was placed in milliseconds. */
  readonly placements: readonly Placement[];
  /** Price of all model runs for the request, including discarded answers. */
  readonly cost: number;
}

/** Options of one emulator run. */
export interface EmulationOptions {
  readonly pattern: Pattern;
  readonly policy: string;
  /** Factor applied to the pattern's request rates. */
  readonly load: number;
  readonly seed: number;
  /** Whether the gateways share the speeds that they measure; true if absent. */
  readonly isSharingSpeeds?: boolean;
}

/** The result of one emulator run. */
export interface Emulation {
  readonly outcomes: readonly Outcome[];
  /** Mean busy time of the engines divided by the length of the arrival period. */
  readonly busyFraction: number;
}

/** One-way network latency between two hosts of one zone, and the addition for another zone. */
const SAME_ZONE_LATENCY_MS = 0.2;
const CROSS_ZONE_EXTRA_MS = 1.2;
/** A refused caller retries after at most this fraction of its remaining time, up to the limit. */
const MAX_RETRY_DELAY_FRACTION = 1 / 3;
const RETRY_LIMIT = 1;
/** Price of a prompt token relative to a generated token. */
const PROMPT_TOKEN_PRICE_FACTOR = 0.25;
/** Time after the last arrival in which requests in flight can finish. */
const DRAIN_MS = 30_000;

interface Simulation {
  readonly pattern: Pattern;
  readonly policy: Policy;
  readonly clock: Clock;
  /** Source of the seeds for the request streams. */
  readonly draws: RandomSource;
  readonly engines: readonly Engine[];
  readonly gateways: readonly EmulatedGateway[];
  readonly view: Omit<PolicyView, 'gateway' | 'request' | 'now'>;
  readonly record: (outcome: Outcome) => void;
}

interface Attempt {
  readonly request: EmulatedRequest;
  readonly runs: number;
  readonly retries: number;
  readonly placements: readonly Placement[];
  readonly cost: number;
}

const computeCost = (model: PatternModel, promptTokens: number, answerTokens: number): number =>
  (model.cost * (PROMPT_TOKEN_PRICE_FACTOR * promptTokens + answerTokens)) / 1_000;

const settleRefused = (simulation: Simulation, attempt: Attempt, retryAfterMs: number): void => {
  const { clock, record } = simulation;
  const { request, retries } = attempt;
  const leftMs = request.arrivedAt + request.task.deadlineMs - clock.readNow();
  if (retries < RETRY_LIMIT && leftMs > 0) {
    const delayMs = Math.min(retryAfterMs, MAX_RETRY_DELAY_FRACTION * leftMs);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- a refused caller retries
    clock.schedule(delayMs, () => startRequest(simulation, { ...attempt, retries: retries + 1 }));
    return;
  }
  const { runs, cost, placements } = attempt;
  const fields = { firstTokenMs: Infinity, isGood: false, model: '', runs, cost, placements };
  record({ request, end: 'refused', ...fields });
};

const startRun = (simulation: Simulation, attempt: Attempt, modelName: string): void => {
  const { pattern, policy, clock, engines, gateways, view, record } = simulation;
  const { request } = attempt;
  const gateway = gateways[request.gateway]!;
  const model = pattern.models.find(({ name }) => name === modelName)!;
  const now = clock.readNow();
  const choice = policy.place({ ...view, gateway, request, now }, modelName);
  if (choice.type === 'refused') {
    settleRefused(simulation, attempt, choice.retryAfterMs);
    return;
  }
  const { endpoint, queueMs, prefillMs, uncachedTokens } = choice;
  const engine = engines.find(({ id }) => id === endpoint.id)!;
  gateway.cacheEstimates.record(endpoint.id, modelName, request.promptBlocks);
  const share = gateway.loads.add(endpoint.id, { startsAt: now + queueMs, prefillMs });
  const runs = attempt.runs + 1;
  const placed = { endpoint: endpoint.id, at: now, prefillTokens: uncachedTokens };
  const placements = [...attempt.placements, placed];
  const promptCost = attempt.cost + computeCost(model, request.promptTokens, 0);
  const networkMs =
    SAME_ZONE_LATENCY_MS + (endpoint.zone === gateway.zone ? 0 : CROSS_ZONE_EXTRA_MS);
  const computeElapsedMs = (): number => clock.readNow() - request.arrivedAt;

  const handleResponseHead = (): boolean => {
    if (computeElapsedMs() > request.task.deadlineMs) {
      share.release();
      const fields = { firstTokenMs: Infinity, isGood: false, model: modelName, runs, placements };
      record({ request, end: 'gave_up', ...fields, cost: promptCost });
      return false;
    }
    const policyView = { ...view, gateway, request, now: clock.readNow() };
    const secondModel = policy.chooseSecond(policyView, {
      model: modelName,
      confidence: request.confidence,
      runs,
    });
    if (secondModel === undefined) return true;
    share.release();
    clock.schedule(networkMs, () =>
      startRun(simulation, { ...attempt, runs, placements, cost: promptCost }, secondModel),
    );
    return false;
  };

  const gapSampler = createGapSampler((gapMs) =>
    gateway.chooser.recordEventGap({ endpoint, model: modelName }, gapMs, clock.readNow()),
  );
  let eventAt = 0;
  let firstTokenMs = Infinity;
  const recordEvent = (): void => {
    gapSampler.record(1, eventAt, clock.readNow());
    eventAt = clock.readNow();
  };
  const run = {
    model,
    promptBlocks: request.promptBlocks,
    answerTokens: request.answerTokens,
    handleResponseHead,
    handleFirstToken: () => {
      share.endPrefill();
      firstTokenMs = computeElapsedMs() + networkMs;
      recordEvent();
      if (queueMs > 50) return;
      const uncached = { endpoint, model: modelName, uncachedTokens };
      const prefill = { ...uncached, promptTokens: request.promptTokens };
      const at = clock.readNow();
      gateway.chooser.recordFirstToken(view.facts, prefill, at - now, at);
    },
    handleEvent: recordEvent,
    handleEnd: () => {
      share.release();
      const cost = promptCost + computeCost(model, 0, request.answerTokens);
      const isGood = request.difficulty < model.quality;
      const fields = { firstTokenMs, isGood, model: modelName, runs, cost, placements };
      record({ request, end: 'answered', ...fields });
    },
  };
  clock.schedule(networkMs, () => {
    if (engine.start(run)) return;
    share.release();
    settleRefused(simulation, attempt, 300);
  });
};

const startRequest = (simulation: Simulation, attempt: Attempt): void => {
  const { policy, clock, gateways, view } = simulation;
  const { request } = attempt;
  const gateway = gateways[request.gateway]!;
  const policyView = { ...view, gateway, request, now: clock.readNow() };
  startRun(simulation, attempt, policy.chooseFirst(policyView));
};

const addArrivals = (simulation: Simulation, load: number): void => {
  const { pattern, clock, draws } = simulation;
  const { burst } = pattern;
  const readFactor = (now: number): number =>
    burst && now >= burst.at * 1_000 && now < (burst.at + burst.seconds) * 1_000 ? burst.factor : 1;
  pattern.tasks.forEach((task) => {
    const gaps = createRandomSource(draws.sampleIndex(2 ** 30));
    const source = createRequestSource(pattern, createRandomSource(draws.sampleIndex(2 ** 30)));
    const addNext = (): void => {
      const rate = task.perSecond * load * readFactor(clock.readNow());
      clock.schedule(gaps.sampleExponential(1_000 / rate), () => {
        if (clock.readNow() > pattern.seconds * 1_000) return;
        const request = source.generate(task, clock.readNow());
        startRequest(simulation, { request, runs: 0, retries: 0, placements: [], cost: 0 });
        addNext();
      });
    };
    addNext();
  });
};

/** Runs a load pattern. The same options produce the same outcomes. */
export const runEmulation = ({
  pattern,
  policy,
  load,
  seed,
  isSharingSpeeds = true,
}: EmulationOptions): Emulation => {
  const chosen = POLICIES[policy];
  if (!chosen)
    throw new Error(
      `unknown policy '${policy}'; known policies: ${Object.keys(POLICIES).join(', ')}`,
    );
  const clock = createClock();
  const draws = createRandomSource(seed);
  const reports = createReports(pattern);
  const engines = reports.map(({ id, zone }, index) =>
    createEngine(clock, pattern, id, zone, createTimeFactor(clock, pattern, index, seed)),
  );
  const outcomes: Outcome[] = [];
  const gateways = Array.from({ length: pattern.gateways }, (_item, index) =>
    createGateway(pattern, reports, index),
  );
  const facts = createFacts(pattern);
  const simulation: Simulation = {
    pattern,
    policy: chosen,
    clock,
    draws,
    engines,
    gateways,
    view: { pattern, facts, engines, reports, draws: createRandomSource(seed + 1) },
    record: (outcome) => outcomes.push(outcome),
  };
  const tables = {
    aggregator: createLoadAggregator('board'),
    speedTable: isSharingSpeeds ? createSpeedTable('speeds') : undefined,
  };
  const exchangeMs = computeExchangeInterval(pattern.gateways);
  gateways.forEach((gateway, index) => {
    const runExchange = (): void => {
      gateway.exchange(tables, clock.readNow());
      clock.schedule(exchangeMs, runExchange);
    };
    clock.schedule((index * exchangeMs) / pattern.gateways, runExchange);
  });
  addArrivals(simulation, load);
  const endMs = pattern.seconds * 1_000;
  clock.runUntil(endMs + DRAIN_MS);
  const busyMs = engines.reduce((sum, engine) => sum + engine.countBusyMs(), 0);
  return { outcomes, busyFraction: busyMs / (endMs * engines.length) };
};
