import { computeExchangeInterval } from '../../src/node/gateway';
import { createLoadAggregator } from '../../src/node/routingControl';
import { createClock, type Clock } from './clock';
import { createDraws, type Draws } from './draws';
import { createEngine, type Engine } from './engine';
import { createFacts, createGateway, createReports, type EmulatedGateway } from './gateway';
import type { Pattern, PatternModel } from './pattern';
import { POLICIES, type Policy, type PolicyView } from './policies';
import { createRequestSource, type EmulatedRequest } from './requests';

/** How one request went. */
export interface Outcome {
  readonly request: EmulatedRequest;
  readonly end: 'answered' | 'refused' | 'gave_up';
  /** From the caller's first attempt to the first token; infinite without one. */
  readonly firstTokenMs: number;
  readonly isGood: boolean;
  readonly model: string;
  readonly runs: number;
  /** Price of all models' work for it, dropped answers included. */
  readonly cost: number;
}

/** One run of the emulator. */
export interface EmulationOptions {
  readonly pattern: Pattern;
  readonly policy: string;
  /** Factor on the pattern's rates. */
  readonly load: number;
  readonly seed: number;
}

/** What a run gives. */
export interface Emulation {
  readonly outcomes: readonly Outcome[];
  /** Part of the time that engines were busy. */
  readonly busyPart: number;
}

/** One way between two hosts of one zone, and the extra way to another zone. */
const WAY_MS = 0.2;
const OTHER_ZONE_MS = 1.2;
/** A caller returns after this part of its time at most, and this many times. */
const RETURN_PART = 1 / 3;
const RETURNS = 1;
/** A token that was read is priced at this part of a generated one. */
const READ_PRICE_PART = 0.25;
/** Time after the last arrival in which what is under way ends. */
const TAIL_MS = 30_000;

interface World {
  readonly pattern: Pattern;
  readonly policy: Policy;
  readonly clock: Clock;
  /** Gives seeds. */
  readonly draws: Draws;
  readonly engines: readonly Engine[];
  readonly gateways: readonly EmulatedGateway[];
  readonly view: Omit<PolicyView, 'gateway' | 'request' | 'now'>;
  readonly record: (outcome: Outcome) => void;
}

interface Attempt {
  readonly request: EmulatedRequest;
  readonly runs: number;
  readonly returns: number;
  readonly cost: number;
}

const computeCost = (model: PatternModel, promptTokens: number, answerTokens: number): number =>
  (model.cost * (READ_PRICE_PART * promptTokens + answerTokens)) / 1_000;

const settleRefused = (world: World, attempt: Attempt, retryAfterMs: number): void => {
  const { clock, record } = world;
  const { request, returns } = attempt;
  const leftMs = request.arrivedAt + request.task.deadlineMs - clock.readNow();
  if (returns < RETURNS && leftMs > 0) {
    const delayMs = Math.min(retryAfterMs, RETURN_PART * leftMs);
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- a refused caller comes back
    clock.add(delayMs, () => startRequest(world, { ...attempt, returns: returns + 1 }));
    return;
  }
  const { runs, cost } = attempt;
  record({ request, end: 'refused', firstTokenMs: Infinity, isGood: false, model: '', runs, cost });
};

const startRun = (world: World, attempt: Attempt, modelName: string): void => {
  const { pattern, policy, clock, engines, gateways, view, record } = world;
  const { request } = attempt;
  const gateway = gateways[request.gateway]!;
  const model = pattern.models.find(({ name }) => name === modelName)!;
  const now = clock.readNow();
  const choice = policy.place({ ...view, gateway, request, now }, modelName);
  if (choice.type === 'refused') {
    settleRefused(world, attempt, choice.retryAfterMs);
    return;
  }
  const { endpoint, queueMs, prefillMs, uncachedTokens } = choice;
  const engine = engines.find(({ id }) => id === endpoint.id)!;
  gateway.beliefs.record(endpoint.id, modelName, request.parts);
  const share = gateway.loads.add(endpoint.id, { startsAt: now + queueMs, prefillMs });
  const runs = attempt.runs + 1;
  const readCost = attempt.cost + computeCost(model, request.promptTokens, 0);
  const wayMs = WAY_MS + (endpoint.zone === gateway.zone ? 0 : OTHER_ZONE_MS);
  const countSince = (): number => clock.readNow() - request.arrivedAt;

  const handleHead = (): boolean => {
    if (countSince() > request.task.deadlineMs) {
      share.release();
      const fields = { firstTokenMs: Infinity, isGood: false, model: modelName, runs };
      record({ request, end: 'gave_up', ...fields, cost: readCost });
      return false;
    }
    const seen = { ...view, gateway, request, now: clock.readNow() };
    const second = policy.chooseSecond(seen, {
      model: modelName,
      confidence: request.confidence,
      runs,
    });
    if (second === undefined) return true;
    share.release();
    clock.add(wayMs, () => startRun(world, { ...attempt, runs, cost: readCost }, second));
    return false;
  };

  let firstTokenMs = Infinity;
  const run = {
    model,
    parts: request.parts,
    answerTokens: request.answerTokens,
    handleHead,
    handleFirstToken: () => {
      share.endPrefill();
      firstTokenMs = countSince() + wayMs;
      if (queueMs > 50) return;
      const read = { service: endpoint.service, model: modelName, uncachedTokens };
      const reading = { ...read, promptTokens: request.promptTokens };
      gateway.chooser.recordFirstToken(view.facts, reading, clock.readNow() - now);
    },
    handleEnd: () => {
      share.release();
      const cost = readCost + computeCost(model, 0, request.answerTokens);
      const isGood = request.hardness < model.quality;
      record({ request, end: 'answered', firstTokenMs, isGood, model: modelName, runs, cost });
    },
  };
  clock.add(wayMs, () => {
    if (engine.start(run)) return;
    share.release();
    settleRefused(world, attempt, 300);
  });
};

const startRequest = (world: World, attempt: Attempt): void => {
  const { policy, clock, gateways, view } = world;
  const { request } = attempt;
  const gateway = gateways[request.gateway]!;
  const seen = { ...view, gateway, request, now: clock.readNow() };
  startRun(world, attempt, policy.chooseFirst(seen));
};

const addArrivals = (world: World, load: number): void => {
  const { pattern, clock, draws } = world;
  const { burst } = pattern;
  const readFactor = (now: number): number =>
    burst && now >= burst.at * 1_000 && now < (burst.at + burst.seconds) * 1_000 ? burst.factor : 1;
  pattern.tasks.forEach((task) => {
    const gaps = createDraws(draws.sampleIndex(2 ** 30));
    const source = createRequestSource(pattern, createDraws(draws.sampleIndex(2 ** 30)));
    const addNext = (): void => {
      const rate = task.perSecond * load * readFactor(clock.readNow());
      clock.add(gaps.sampleExponential(1_000 / rate), () => {
        if (clock.readNow() > pattern.seconds * 1_000) return;
        const request = source.generate(task, clock.readNow());
        startRequest(world, { request, runs: 0, returns: 0, cost: 0 });
        addNext();
      });
    };
    addNext();
  });
};

/** Runs a load pattern; the same options give the same outcomes. */
export const runEmulation = ({ pattern, policy, load, seed }: EmulationOptions): Emulation => {
  const chosen = POLICIES[policy];
  if (!chosen) throw new Error(`no policy '${policy}': ${Object.keys(POLICIES).join(', ')}`);
  const clock = createClock();
  const draws = createDraws(seed);
  const reports = createReports(pattern);
  const engines = reports.map(({ id, zone }) => createEngine(clock, pattern, id, zone));
  const outcomes: Outcome[] = [];
  const gateways = Array.from({ length: pattern.gateways }, (_item, index) =>
    createGateway(pattern, reports, index),
  );
  const facts = createFacts(pattern);
  const world: World = {
    pattern,
    policy: chosen,
    clock,
    draws,
    engines,
    gateways,
    view: { pattern, facts, engines, reports, draws: createDraws(seed + 1) },
    record: (outcome) => outcomes.push(outcome),
  };
  const board = createLoadAggregator('board');
  const exchangeMs = computeExchangeInterval(pattern.gateways);
  gateways.forEach((gateway, index) => {
    const runExchange = (): void => {
      gateway.exchange(board, clock.readNow());
      clock.add(exchangeMs, runExchange);
    };
    clock.add((index * exchangeMs) / pattern.gateways, runExchange);
  });
  addArrivals(world, load);
  const endMs = pattern.seconds * 1_000;
  clock.runUntil(endMs + TAIL_MS);
  const busyMs = engines.reduce((sum, engine) => sum + engine.countBusyMs(), 0);
  return { outcomes, busyPart: busyMs / (endMs * engines.length) };
};
