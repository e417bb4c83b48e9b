import { build as buildHistogram, type Histogram } from 'hdr-histogram-js';
import type { Emulation, Outcome } from './emulate';
import type { Pattern } from './pattern';

/** Results of one run. Benefits are fractions of the requested benefit. */
export interface Figures {
  readonly requests: number;
  /** Earned benefit divided by requested benefit, before model prices are subtracted. */
  readonly benefit: number;
  /** Benefit minus the price of the model runs. */
  readonly net: number;
  readonly inTime: number;
  readonly good: number;
  readonly refused: number;
  /** Benefit of the tenth of requests with the longest prompts; the lowest value over all tasks. */
  readonly largest: number;
  /** Benefit of the task that earns least. */
  readonly worstTask: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP99Ms: number;
  /** Jain's fairness index over the benefit fractions of the organisations. */
  readonly fairness: number;
  readonly busyFraction: number;
}

/** Factor applied to the benefit of an answer of insufficient quality. */
const POOR_ANSWER_FACTOR = 0.05;

/** Computes the benefit of one outcome. */
export const computeBenefit = ({ request, end, firstTokenMs, isGood }: Outcome): number => {
  if (end !== 'answered') return 0;
  const benefit = firstTokenMs <= request.task.targetMs ? request.benefit : request.lateBenefit;
  return benefit * (isGood ? 1 : POOR_ANSWER_FACTOR);
};

const computeSum = <T>(items: readonly T[], read: (item: T) => number): number =>
  items.reduce((total, item) => total + read(item), 0);

const computeBenefitFraction = (outcomes: readonly Outcome[]): number => {
  const requestedBenefit = computeSum(outcomes, ({ request }) => request.benefit);
  return requestedBenefit > 0 ? computeSum(outcomes, computeBenefit) / requestedBenefit : 1;
};

const listGroups = (
  outcomes: readonly Outcome[],
  readKey: (outcome: Outcome) => string,
): readonly (readonly Outcome[])[] => {
  const groups = new Map<string, Outcome[]>();
  for (const outcome of outcomes) {
    const key = readKey(outcome);
    const group = groups.get(key);
    if (group) group.push(outcome);
    else groups.set(key, [outcome]);
  }
  return [...groups.values()];
};

const listLargest = (outcomes: readonly Outcome[]): readonly Outcome[] =>
  [...outcomes]
    .sort((a, b) => b.request.promptTokens - a.request.promptTokens)
    .slice(0, Math.ceil(outcomes.length / 10));

const createHistogram = (outcomes: readonly Outcome[]): Histogram => {
  const histogram = buildHistogram({ highestTrackableValue: 120_000 });
  outcomes
    .filter(({ firstTokenMs }) => firstTokenMs < Infinity)
    .forEach(({ firstTokenMs }) => histogram.recordValue(Math.round(firstTokenMs)));
  return histogram;
};

const computeFairness = (outcomes: readonly Outcome[]): number => {
  const fractions = listGroups(outcomes, ({ request }) => request.organisation).map(
    computeBenefitFraction,
  );
  const squares = computeSum(fractions, (part) => part ** 2);
  return squares > 0
    ? computeSum(fractions, (part) => part) ** 2 / (fractions.length * squares)
    : 1;
};

/** Computes the figures of a run. */
export const computeFigures = ({ outcomes, busyFraction: busyPart }: Emulation): Figures => {
  const tasks = listGroups(outcomes, ({ request }) => request.task.name);
  const requestedBenefit = computeSum(outcomes, ({ request }) => request.benefit);
  const answered = outcomes.filter(({ end }) => end === 'answered');
  const histogram = createHistogram(outcomes);
  const computeFraction = (list: readonly Outcome[]): number => list.length / outcomes.length;
  return {
    requests: outcomes.length,
    benefit: computeBenefitFraction(outcomes),
    net:
      (computeSum(outcomes, computeBenefit) - computeSum(outcomes, ({ cost }) => cost)) /
      requestedBenefit,
    inTime: computeFraction(
      answered.filter(({ request, firstTokenMs }) => firstTokenMs <= request.task.targetMs),
    ),
    good: computeFraction(answered.filter(({ isGood }) => isGood)),
    refused: computeFraction(outcomes.filter(({ end }) => end === 'refused')),
    largest: Math.min(...tasks.map((task) => computeBenefitFraction(listLargest(task)))),
    worstTask: Math.min(...tasks.map(computeBenefitFraction)),
    firstTokenP50Ms: histogram.getValueAtPercentile(50),
    firstTokenP99Ms: histogram.getValueAtPercentile(99),
    fairness: computeFairness(outcomes),
    busyFraction: busyPart,
  };
};

/** Width of the time steps in a plot. */
const STEP_SECONDS = 2;

/** Computes the benefit over time, grouped by arrival in steps of two seconds. */
export const computeBenefitOverTime = (
  pattern: Pattern,
  { outcomes }: Emulation,
): readonly { readonly second: number; readonly benefit: number }[] =>
  Array.from({ length: Math.ceil(pattern.seconds / STEP_SECONDS) }, (_item, step) => {
    const second = step * STEP_SECONDS;
    const from = second * 1_000;
    const to = from + STEP_SECONDS * 1_000;
    const list = outcomes.filter(
      ({ request }) => request.arrivedAt >= from && request.arrivedAt < to,
    );
    return { second, benefit: computeBenefitFraction(list) };
  });
