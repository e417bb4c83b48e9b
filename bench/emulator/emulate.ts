import {
  computeExchangeInterval,
  createGapSampler,
  type PredictedWork,
} from '../../src/node/gateway';
import { createLoadAggregator, createSpeedTable } from '../../src/node/routingControl';
import { createClock, type Clock } from './clock';
import { createRandomSource, type RandomSource } from './randomSource';
import { createEngine, type Engine } from './engine';
import { createTimeFactor } from './engineSpeeds';
import {
  createFacts,
  createGateway,
  createReports,
  createRoute,
  SERVICE,
  type EmulatedGateway,
} from './gateway';
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
  /** Longest time between two events of the stream. */
  readonly longestPauseMs: number;
  readonly isGood: boolean;
  readonly model: string;
  /** Engine of the last run; empty if there was none. */
  readonly endpoint: string;
  readonly runs: number;
  /** Time of the last refusal, if it was refused. */
  readonly refusedAt?: number;
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

/** Organisation whose callers return after refusals more often and sooner than they may. */
export const ABUSIVE_ORGANISATION = 'o-0';

const computePatienceMs = (pattern: Pattern, { task }: EmulatedRequest): number =>
  task.deadlineMs * (pattern.patience ?? 1);

interface Simulation {
  readonly pattern: Pattern;
  readonly policy: Policy;
  readonly clock: Clock;
  /** Source of the seeds for the request streams. */
  readonly draws: RandomSource;
  readonly engines: readonly Engine[];
  readonly gateways: readonly EmulatedGateway[];
  readonly view: Omit<PolicyView, 'gateway' | 'request' | 'now' | 'earlierPriority' | 'tried'>;
  readonly record: (outcome: Outcome) => void;
}

interface Attempt {
  readonly request: EmulatedRequest;
  readonly runs: number;
  readonly retries: number;
  readonly placements: readonly Placement[];
  readonly cost: number;
  /** Gateway of the attempt, and the time at which it received the request. */
  readonly gateway: number;
  readonly receivedAt: number;
  /** Whether the gateway has admitted the request. */
  readonly isAdmitted: boolean;
  readonly priority: number | undefined;
  readonly tried: ReadonlySet<string>;
  /** Time to the first token of an earlier run whose engine was lost after it. */
  readonly firstTokenMs: number;
}

const createAttempt = (request: EmulatedRequest, now: number): Attempt => ({
  request,
  runs: 0,
  retries: 0,
  placements: [],
  cost: 0,
  gateway: request.gateway,
  receivedAt: now,
  isAdmitted: false,
  priority: undefined,
  tried: new Set(),
  firstTokenMs: Infinity,
});

// The caller comes back by another gateway, as by a load balancer. That gateway knows nothing about
// the earlier attempts.
const createReturn = ({ clock, pattern }: Simulation, attempt: Attempt): Attempt => ({
  ...attempt,
  retries: attempt.retries + 1,
  gateway: (attempt.gateway + 1) % pattern.gateways,
  receivedAt: clock.readNow(),
  isAdmitted: false,
  priority: undefined,
  tried: new Set(),
});

const computeCost = (model: PatternModel, promptTokens: number, answerTokens: number): number =>
  (model.cost * (PROMPT_TOKEN_PRICE_FACTOR * promptTokens + answerTokens)) / 1_000;

const NO_ANSWER = {
  firstTokenMs: Infinity,
  longestPauseMs: 0,
  isGood: false,
  model: '',
  endpoint: '',
};

const settleRefused = (simulation: Simulation, attempt: Attempt, retryAfterMs: number): void => {
  const { pattern, clock, record } = simulation;
  const { request, retries } = attempt;
  const abuse = request.organisation === ABUSIVE_ORGANISATION ? pattern.retryAbuse : undefined;
  const leftMs = request.arrivedAt + computePatienceMs(pattern, request) - clock.readNow();
  if (retries < (abuse?.returns ?? RETRY_LIMIT) && leftMs > 0) {
    const politeMs = Math.min(retryAfterMs, MAX_RETRY_DELAY_FRACTION * leftMs);
    const delayMs = abuse?.delayMs ?? politeMs;
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- a refused caller retries
    clock.schedule(delayMs, () => startRequest(simulation, createReturn(simulation, attempt)));
    return;
  }
  const { runs, placements, cost } = attempt;
  const fields = { ...NO_ANSWER, refusedAt: clock.readNow(), runs, placements, cost };
  record({ request, end: 'refused', ...fields });
};

// Returns false if the request waits or is refused.
const admitAttempt = (
  simulation: Simulation,
  attempt: Attempt,
  model: string,
  work: PredictedWork,
): boolean => {
  const { pattern, policy, clock, gateways, view } = simulation;
  const { request, retries, receivedAt, priority: earlierPriority, tried } = attempt;
  const { task } = request;
  const gateway = gateways[attempt.gateway]!;
  const result = gateway.admission.admit(
    {
      requestId: `${request.id}-${retries}`,
      route: createRoute(pattern, task),
      rank: task.rank,
      organisation: request.organisation,
      service: SERVICE,
      table: view.facts.table,
      fingerprint: request.id,
      targetEndsAt: receivedAt + task.targetMs,
      deadlineAt: request.arrivedAt + task.deadlineMs,
      gatewayCount: pattern.gateways,
      work,
      estimateWork: () => {
        const policyView = { ...view, gateway, request, tried, earlierPriority };
        const next = policy.place({ ...policyView, now: clock.readNow() }, model);
        return next.type === 'placed' ? next : undefined;
      },
      hasEnded: () => clock.readNow() > request.arrivedAt + computePatienceMs(pattern, request),
    },
    (end) => {
      if (end.type === 'refused') settleRefused(simulation, attempt, end.retryAfterMs);
      if (end.type === 'ended') {
        const { runs, placements, cost } = attempt;
        simulation.record({ request, end: 'gave_up', ...NO_ANSWER, runs, placements, cost });
      }
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- chosen again after a wait
      if (end.type === 'run') startRequest(simulation, { ...attempt, isAdmitted: true });
    },
  );
  if (result.type === 'refused') settleRefused(simulation, attempt, result.retryAfterMs);
  return result.type === 'run';
};

const startRun = (simulation: Simulation, attempt: Attempt, modelName: string): void => {
  const { pattern, policy, clock, engines, gateways, view, record } = simulation;
  const { request } = attempt;
  const gateway = gateways[attempt.gateway]!;
  const model = pattern.models.find(({ name }) => name === modelName)!;
  const now = clock.readNow();
  const { priority: earlierPriority, tried } = attempt;
  const base = { ...view, gateway, request, tried };
  const choice = policy.place({ ...base, now, earlierPriority }, modelName);
  if (choice.type === 'refused') {
    settleRefused(simulation, attempt, choice.retryAfterMs);
    return;
  }
  if (!attempt.isAdmitted && policy.hasAdmission) {
    const admitted = admitAttempt(simulation, attempt, modelName, choice);
    if (!admitted) return;
  }
  const { endpoint, queueMs, prefillMs, uncachedTokens, priority, displacedMs = 0 } = choice;
  const engine = engines.find(({ id }) => id === endpoint.id)!;
  gateway.cacheEstimates.record(endpoint.id, modelName, request.promptBlocks);
  const share = gateway.loads.add(endpoint.id, { sentAt: now, prefillMs, priority });
  const runs = attempt.runs + 1;
  const placed = { endpoint: endpoint.id, at: now, prefillTokens: uncachedTokens };
  const placements = [...attempt.placements, placed];
  const promptCost = attempt.cost + computeCost(model, request.promptTokens, 0);
  const networkMs =
    SAME_ZONE_LATENCY_MS + (endpoint.zone === gateway.zone ? 0 : CROSS_ZONE_EXTRA_MS);
  const computeElapsedMs = (): number => clock.readNow() - request.arrivedAt;

  const handleResponseHead = (): boolean => {
    if (computeElapsedMs() > computePatienceMs(pattern, request)) {
      share.release();
      const fields = { ...NO_ANSWER, model: modelName, endpoint: endpoint.id, runs, placements };
      record({ request, end: 'gave_up', ...fields, cost: promptCost });
      return false;
    }
    const policyView = { ...base, now: clock.readNow(), earlierPriority: priority };
    const secondModel = policy.chooseSecond(policyView, {
      model: modelName,
      confidence: request.confidence,
      runs,
    });
    if (secondModel === undefined) return true;
    share.release();
    clock.schedule(networkMs, () =>
      startRun(
        simulation,
        { ...attempt, runs, placements, cost: promptCost, priority, isAdmitted: true },
        secondModel,
      ),
    );
    return false;
  };

  let { firstTokenMs } = attempt;
  // The gateway sees the lost connection and repeats the request at another engine.
  const handleLoss = (): void => {
    share.release();
    gateway.loads.recordOutcome(endpoint.id, 'failed', clock.readNow());
    const kept = { runs, placements, cost: promptCost, priority, firstTokenMs };
    const next = { ...attempt, ...kept, isAdmitted: true };
    startRun(simulation, { ...next, tried: new Set([...tried, endpoint.id]) }, modelName);
  };
  const gapSampler = createGapSampler((gapMs) =>
    gateway.chooser.recordEventGap({ endpoint, model: modelName }, gapMs, clock.readNow()),
  );
  let eventAt = 0;
  const recordEvent = (): void => {
    gapSampler.record(1, eventAt, clock.readNow());
    eventAt = clock.readNow();
  };
  const run = {
    handleLoss,
    model,
    promptBlocks: request.promptBlocks,
    answerTokens: request.answerTokens,
    priority,
    handleResponseHead,
    handleFirstToken: () => {
      share.endPrefill();
      firstTokenMs = Math.min(firstTokenMs, computeElapsedMs() + networkMs);
      recordEvent();
      if (queueMs + displacedMs > 50) return;
      const uncached = { endpoint, model: modelName, uncachedTokens };
      const prefill = { ...uncached, promptTokens: request.promptTokens };
      const at = clock.readNow();
      gateway.chooser.recordFirstToken(view.facts, prefill, at - now, at);
    },
    handleEvent: recordEvent,
    handleEnd: (longestPauseMs: number) => {
      share.release();
      const cost = promptCost + computeCost(model, 0, request.answerTokens);
      const isGood = request.difficulty < model.quality;
      record({
        request,
        end: 'answered',
        firstTokenMs,
        longestPauseMs,
        isGood,
        model: modelName,
        endpoint: endpoint.id,
        runs,
        placements,
        cost,
      });
    },
  };
  clock.schedule(networkMs, () => {
    if (engine.isLost()) {
      handleLoss();
      return;
    }
    if (engine.start(run)) return;
    share.release();
    settleRefused(simulation, attempt, 300);
  });
};

const startRequest = (simulation: Simulation, attempt: Attempt): void => {
  const { policy, clock, gateways, view } = simulation;
  const { request, priority: earlierPriority, tried } = attempt;
  const gateway = gateways[attempt.gateway]!;
  const policyView = { ...view, gateway, request, now: clock.readNow(), earlierPriority, tried };
  startRun(simulation, attempt, policy.chooseFirst(policyView));
};

const addArrivals = (simulation: Simulation, load: number): void => {
  const { pattern, clock, draws } = simulation;
  const { burst, bursts = [] } = pattern;
  const isDuring = (
    now: number,
    { at, seconds }: { readonly at: number; readonly seconds: number },
  ) => now >= at * 1_000 && now < (at + seconds) * 1_000;
  const readFactor = (task: string, now: number): number =>
    [...(burst ? [burst] : []), ...bursts.filter((item) => item.task === task)]
      .filter((item) => isDuring(now, item))
      .reduce((product, { factor }) => product * factor, 1);
  pattern.tasks.forEach((task) => {
    const gaps = createRandomSource(draws.sampleIndex(2 ** 30));
    const source = createRequestSource(pattern, createRandomSource(draws.sampleIndex(2 ** 30)));
    const addNext = (): void => {
      const now = clock.readNow();
      const change = task.changes?.findLast(({ at }) => now >= at * 1_000)?.factor ?? 1;
      const rate = task.perSecond * load * readFactor(task.name, now) * change;
      const next = task.changes?.find(({ at }) => now < at * 1_000);
      const gapMs = rate > 0 ? gaps.sampleExponential(1_000 / rate) : Infinity;
      // Arrivals have no memory, so at a change of the rate the next one is drawn again.
      if (next && now + gapMs >= next.at * 1_000) {
        clock.schedule(next.at * 1_000 - now, addNext);
        return;
      }
      if (gapMs === Infinity) return;
      clock.schedule(gapMs, () => {
        if (clock.readNow() > pattern.seconds * 1_000) return;
        const request = source.generate(task, clock.readNow());
        startRequest(simulation, createAttempt(request, clock.readNow()));
        addNext();
      });
    };
    addNext();
  });
};

/** Time after which the gateways miss the reports of a lost engine. */
const REPORT_TIMEOUT_MS = 1_500;

const scheduleLoss = ({ pattern, clock, engines, gateways }: Simulation): void => {
  if (pattern.engineLossAt === undefined) return;
  clock.schedule(pattern.engineLossAt * 1_000, () => {
    const lost = engines.reduce((most, engine) =>
      engine.readState().queueMs > most.readState().queueMs ? engine : most,
    );
    lost.stop();
    clock.schedule(REPORT_TIMEOUT_MS, () =>
      gateways.forEach(({ removeEndpoint }) => removeEndpoint(lost.id)),
    );
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
    createGateway(pattern, reports, index, clock),
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
      const applyAnswer = gateway.exchange(tables, clock.readNow());
      if (pattern.viewDelayMs === undefined) applyAnswer();
      else clock.schedule(pattern.viewDelayMs, applyAnswer);
      clock.schedule(exchangeMs, runExchange);
    };
    clock.schedule((index * exchangeMs) / pattern.gateways, runExchange);
  });
  addArrivals(simulation, load);
  scheduleLoss(simulation);
  const endMs = pattern.seconds * 1_000;
  clock.runUntil(endMs + DRAIN_MS);
  const busyMs = engines.reduce((sum, engine) => sum + engine.countBusyMs(), 0);
  return { outcomes, busyFraction: busyMs / (endMs * engines.length) };
};
