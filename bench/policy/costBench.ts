import {
  chooseChain,
  computeRatingShare,
  createLearning,
  estimateAnswerSize,
  type ChainStep,
  type Learning,
} from '../../src/node/decisions';
import { createCellStore } from '../../src/node/control/policy';
import {
  chooseOracleChain,
  findModel,
  RATING_COST,
  RATING_TIME_MS,
  runChain,
  type RunResult,
} from './chains';
import { createRandomSource, type RandomSource } from './randomSource';
import {
  sampleByShare,
  sampleRating,
  type World,
  type WorldOrganisation,
  type WorldTask,
} from './worlds';

const DAY_MS = 86_400_000;
const DAYS = 3;
const ENTRIES = 3;
const EXCHANGE_MS = 30_000;
const HALF_LIFE_MS = 6 * 3_600_000;
const RATING_SHARE = 0.1;
const EXPLORATION_SHARE = 0.02;
const MISSING_SHARE = 0.1;
const RATING_DELAY_MS = 60_000;
const VERSION = 'v1';
const TYPICAL_SIZE = 0.5;

interface Request {
  readonly organisation: WorldOrganisation;
  readonly task: WorldTask;
  readonly mayCascade: boolean;
  readonly entry: number;
  readonly now: number;
}

interface Decision {
  readonly steps: readonly ChainStep[];
  readonly isExploration: boolean;
}

/** Chooses chains and may learn from their results. */
interface Strategy {
  readonly choose: (request: Request, draws: RandomSource) => Decision;
  /** Learns from the runs. Returns the cost of the ratings that this needed. */
  readonly record?: (
    request: Request,
    decision: Decision,
    runs: readonly RunResult[],
    draws: RandomSource,
  ) => number;
}

const createFixed = (
  choose: (request: Request, draws: RandomSource) => readonly ChainStep[],
): Strategy => ({
  choose: (request, draws) => ({ steps: choose(request, draws), isExploration: false }),
});

const listAllowed = (world: World, organisation: WorldOrganisation): readonly string[] =>
  world.models.map((model) => model.name).filter((name) => organisation.models.includes(name));

const createOracle = (world: World): Strategy => {
  const known = new Map<string, readonly ChainStep[]>();
  return createFixed(({ organisation, task, mayCascade }) => {
    const key = `${organisation.name}|${task.name}|${mayCascade}`;
    const steps = known.get(key) ?? chooseOracleChain(world, organisation, task, mayCascade);
    known.set(key, steps);
    return steps;
  });
};

interface PendingRating {
  readonly dueAt: number;
  readonly request: Request;
  readonly run: RunResult;
  readonly score: number;
}

/** Uses the production functions: estimates per entry, shared through the cell store of control. */
const createAdaptive = (world: World): Strategy => {
  const learnings: readonly Learning[] = Array.from({ length: ENTRIES }, () =>
    createLearning({ halfLifeMs: HALF_LIFE_MS, falseBrakeRate: 0.001 }),
  );
  const store = createCellStore(HALF_LIFE_MS);
  let exchangedAt = 0;
  let pending: PendingRating[] = [];

  const createName = (request: Request, model: string, isEscalated: boolean) => ({
    organisation: request.organisation.name,
    task: request.task.name,
    model,
    version: VERSION,
    isEscalated,
  });

  const mergeAll = (now: number): void => {
    if (now - exchangedAt < EXCHANGE_MS) return;
    exchangedAt = now;
    learnings.forEach(({ estimates }, index) => {
      estimates.listChanged(now).forEach((cell) => store.update(`e${index}`, cell, now));
      store
        .listChanged(`e${index}`, now)
        .forEach((cell) => estimates.updateShared({ ...cell, at: now }));
    });
  };

  const recordRating = (request: Request, run: RunResult, score: number, now: number): void =>
    learnings[request.entry]!.record({
      name: createName(request, run.model, run.isEscalated),
      isHighValue: request.task.isHighValue,
      observation: { type: 'rated', score },
      now,
    });

  const applyRatings = (now: number): void => {
    const due = pending.filter((item) => item.dueAt <= now);
    if (due.length === 0) return;
    pending = pending.filter((item) => item.dueAt > now);
    due.forEach(({ request, run, score }) => recordRating(request, run, score, now));
  };

  return {
    choose: (request, draws) => {
      const { organisation, task, now } = request;
      applyRatings(now);
      mergeAll(now);
      const { estimates } = learnings[request.entry]!;
      const models = listAllowed(world, organisation).map((name) => findModel(world, name));
      const estimateAll = (size: number) =>
        models.map((model) => {
          const { name, priorQuality: quality, costPerThousand: price } = model;
          const prior = { quality, timeMs: 1_000, cost: price * size };
          return {
            model: name,
            version: VERSION,
            price,
            first: estimates.estimate(createName(request, name, false), prior, now),
            escalated: estimates.estimate(createName(request, name, true), prior, now),
          };
        });
      const costs = estimateAll(TYPICAL_SIZE).map(({ first, price }) => ({
        cost: first.cost,
        runs: first.runs,
        price,
      }));
      const candidates = estimateAll(estimateAnswerSize(costs));
      const plan = chooseChain({
        candidates,
        qualityTarget: task.target,
        confidence: 0.9,
        latencyWeight: 0,
        ratingCost: RATING_COST,
        ratingTimeMs: RATING_TIME_MS,
        deadlineMs: task.deadlineMs,
        mayCascade: request.mayCascade,
        mayExplore: !task.isHighValue && task.isIdempotent,
        explorationShare: EXPLORATION_SHARE,
        draw: draws.uniform(),
      })!;
      return { steps: plan.steps, isExploration: plan.reason === 'exploration' };
    },
    record: (request, decision, runs, draws) => {
      const { now, task } = request;
      let extra = 0;
      runs.forEach((run) => {
        learnings[request.entry]!.record({
          name: createName(request, run.model, run.isEscalated),
          isHighValue: task.isHighValue,
          observation: { type: 'answered', cost: run.cost, timeMs: run.timeMs },
          now,
        });
        if (run.rating !== undefined) {
          recordRating(request, run, run.rating, now);
          return;
        }
        const share = computeRatingShare(RATING_SHARE, RATING_COST, run.cost);
        if (!decision.isExploration && draws.uniform() >= share) return;
        extra += RATING_COST;
        if (draws.uniform() < MISSING_SHARE) return;
        const dueAt = now + draws.exponential(RATING_DELAY_MS);
        pending.push({ dueAt, request, run, score: sampleRating(draws, run.quality) });
      });
      return extra;
    },
  };
};

const STRATEGIES: Readonly<Record<string, (world: World) => Strategy>> = {
  oracle: createOracle,
  learned: createAdaptive,
  'always best': (world) =>
    createFixed(({ organisation }) => [
      { model: listAllowed(world, organisation).at(-1)!, version: VERSION },
    ]),
  'always cheapest': (world) =>
    createFixed(({ organisation }) => [
      { model: listAllowed(world, organisation)[0]!, version: VERSION },
    ]),
  random: (world) =>
    createFixed(({ organisation }, draws) => {
      const allowed = listAllowed(world, organisation);
      return [{ model: allowed[Math.floor(draws.uniform() * allowed.length)]!, version: VERSION }];
    }),
  'fixed cascade': (world) =>
    createFixed(({ organisation, mayCascade }) => {
      const allowed = listAllowed(world, organisation);
      const last = { model: allowed.at(-1)!, version: VERSION };
      return mayCascade ? [{ model: allowed[0]!, version: VERSION, threshold: 0.7 }, last] : [last];
    }),
};

/** Cost and quality of one strategy on one site. */
export interface CostResult {
  readonly world: string;
  readonly strategy: string;
  /** Mean cost per request in each quarter of the first day, then of the days after it. */
  readonly costs: readonly number[];
  /** Lowest mean of quality minus target over all organisations, after the first day. */
  readonly worstMargin: number;
  readonly missedOrganisations: number;
  /** Share of requests that were answered after their deadline, after the first day. */
  readonly lateShare: number;
  /**
   * Cells (organisation and task) with a mean quality more than 0.01 below the target;
   * `cells` is the number of all cells.
   */
  readonly missedNames: readonly string[];
  readonly missedCells: number;
  readonly cells: number;
  /** Mean cost per request after the first day, per task. */
  readonly taskCosts: Readonly<Record<string, number>>;
}

const QUARTERS = 4;
const CELL_SLACK = 0.01;

interface Mean {
  readonly sum: number;
  readonly count: number;
}

const addValue = (means: Map<string, Mean>, key: string, value: number): void => {
  const known = means.get(key) ?? { sum: 0, count: 0 };
  means.set(key, { sum: known.sum + value, count: known.count + 1 });
};

const computeMean = ({ sum, count }: Mean): number => sum / Math.max(1, count);

/** Runs one strategy over three days of one site. The seed determines the requests. */
export const runCostBench = (world: World, strategy: string, seed: number): CostResult => {
  const { choose, record } = STRATEGIES[strategy]!(world);
  const mix = createRandomSource(seed);
  const draws = createRandomSource(seed + 1_000);
  const total = world.requestsPerDay * DAYS;
  const sums = Array.from({ length: QUARTERS + 1 }, () => ({ cost: 0, count: 0 }));
  const margins = new Map<string, Mean>();
  const cells = new Map<string, Mean>();
  const taskCosts = new Map<string, Mean>();
  let late = 0;
  for (let index = 0; index < total; index += 1) {
    const now = (index / world.requestsPerDay) * DAY_MS;
    const task = sampleByShare(mix, world.tasks);
    const organisation = sampleByShare(mix, world.organisations);
    const isSession = mix.uniform() < world.sessionShare;
    const entry = Math.floor(mix.uniform() * ENTRIES);
    const mayCascade = task.isIdempotent && !isSession;
    const request = { organisation, task, mayCascade, entry, now };
    const decision = choose(request, draws);
    const result = runChain(draws, world, organisation, task, decision.steps);
    const extra = record?.(request, decision, result.runs, draws) ?? 0;
    const part = Math.min(QUARTERS, Math.floor((now / DAY_MS) * QUARTERS));
    sums[part]!.cost += result.cost + extra;
    sums[part]!.count += 1;
    if (part < QUARTERS) continue;
    if (result.timeMs > (task.deadlineMs ?? Infinity)) late += 1;
    addValue(margins, organisation.name, result.quality - task.target);
    addValue(cells, `${organisation.name}|${task.name}`, result.quality - task.target);
    addValue(taskCosts, task.name, result.cost + extra);
  }
  const means = [...margins.values()].map(computeMean);
  return {
    world: world.name,
    strategy,
    costs: sums.map((sum) => sum.cost / Math.max(1, sum.count)),
    worstMargin: Math.min(...means),
    missedOrganisations: means.filter((mean) => mean < 0).length,
    lateShare: late / sums[QUARTERS]!.count,
    missedNames: [...cells]
      .filter(([, cell]) => computeMean(cell) < -CELL_SLACK)
      .map(([name, cell]) => `${name} ${computeMean(cell).toFixed(3)}`),
    missedCells: [...cells.values()].filter((cell) => computeMean(cell) < -CELL_SLACK).length,
    cells: cells.size,
    taskCosts: Object.fromEntries(
      [...taskCosts].map(([name, value]) => [name, computeMean(value)] as const),
    ),
  };
};

/** The strategies, the oracle first. */
export const STRATEGY_NAMES: readonly string[] = Object.keys(STRATEGIES);
