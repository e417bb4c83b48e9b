import type { Cap } from '../inventory';
import { createCapAllocator, type CapAllocator } from './capAllocator';

/** A grant of an organisation's cap to one entry; an absent part is not capped. */
export interface Grant {
  readonly sequence: number;
  readonly requestsPerSecond?: number;
  /** Requests that may be saved up in a quiet moment. */
  readonly requestBurst?: number;
  readonly tokensPerSecond?: number;
  readonly tokenBurst?: number;
  readonly inFlight?: number;
}

/** What an entry says of one organisation's work. */
export interface Demand {
  /** Requests per second that arrived, admitted or not. */
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  /** Requests under way and waiting. */
  readonly wantedInFlight: number;
  readonly inFlight: number;
  /** The grant in force at the entry, if any. */
  readonly held?: Grant;
  /** Sequence of the newest grant that was put in force; zero before the first. */
  readonly applied: number;
}

/** The grants of every cap. */
export interface GrantTable {
  /** Grants an entry its part of one organisation's cap. */
  readonly grant: (question: GrantInput) => Grant;
  /** Sums what entries may hold of a cap, by part. */
  readonly computeHeld: (
    organisation: string,
    now: number,
  ) => Readonly<Record<GrantResource, number>>;
}

/** What a grant is asked for. */
export interface GrantInput {
  readonly entry: string;
  readonly organisation: string;
  readonly cap: Cap;
  readonly demand: Demand;
  readonly now: number;
  /** True while an earlier granter's grants may be in force at entries that have not reported. */
  readonly isRecovering: boolean;
}

/** The parts of a grant. */
export type GrantResource =
  'requestsPerSecond' | 'requestBurst' | 'tokensPerSecond' | 'tokenBurst' | 'inFlight';

/** Options of the grant table. */
export interface GrantOptions {
  /** Time for which a grant is good, in milliseconds. */
  readonly lifetimeMs: number;
  /** Longest time that a request may run, in milliseconds. */
  readonly runLimitMs: number;
  /** Above every sequence of an earlier granter. */
  readonly firstSequence: number;
}

/** Rate caps hold over every window of this length. */
export const CAP_WINDOW_SECONDS = 10;

/** Part of a window's work that may come at once. */
const BURST_FRACTION = 0.05;
const MAX_MIN_BURST_REQUESTS = 3;
const RESOURCES: readonly GrantResource[] = [
  'requestsPerSecond',
  'requestBurst',
  'tokensPerSecond',
  'tokenBurst',
  'inFlight',
];

/**
 * Splits a rate cap into a steady rate and a burst, such that both together keep the cap over every
 * window: `rate * window + burst <= cap * window`.
 */
export const resolveRateCap = (cap: number, smallestBurst: number) => {
  const steady = cap * CAP_WINDOW_SECONDS * BURST_FRACTION;
  const burst = Math.max(steady, smallestBurst);
  return { rate: Math.max(0, cap - burst / CAP_WINDOW_SECONDS), burst };
};

const resolveRequestCap = (cap: number) =>
  resolveRateCap(cap, Math.max(1, Math.min(cap, MAX_MIN_BURST_REQUESTS)));

const resolveTokenCap = (cap: number) => resolveRateCap(cap, 0);

type CapAllocators = Readonly<Record<GrantResource, CapAllocator>>;

const createAllocators = (): CapAllocators => ({
  requestsPerSecond: createCapAllocator(),
  requestBurst: createCapAllocator(),
  tokensPerSecond: createCapAllocator(),
  tokenBurst: createCapAllocator(),
  inFlight: createCapAllocator(),
});

/** Creates a table without grants; the sum of unexpired grants never exceeds a cap. */
export const createGrantTable = (options: GrantOptions): GrantTable => {
  const tables = new Map<string, CapAllocators>();
  const { lifetimeMs, runLimitMs } = options;
  let sequence = options.firstSequence;

  const acquireAllocators = (organisation: string): CapAllocators => {
    const known = tables.get(organisation);
    if (known) return known;
    const shares = createAllocators();
    tables.set(organisation, shares);
    return shares;
  };

  const grantResource = (
    question: GrantInput,
    part: GrantResource,
    cap: number,
    demand: number,
    smallest: number,
  ): number => {
    const { entry: node, organisation, now, isRecovering } = question;
    const { held, applied } = question.demand;
    const isWhole = part === 'inFlight';
    const used = isWhole ? question.demand.inFlight : 0;
    const report = { node, demand, used, held: held?.[part] ?? 0, applied };
    const outlastMs = isWhole ? runLimitMs : 0;
    const terms = { now, sequence, cap, lifetimeMs, outlastMs, smallest, isWhole, isRecovering };
    return acquireAllocators(organisation)[part].grant(report, terms);
  };

  const grantRequests = (question: GrantInput) => {
    const { cap, demand } = question;
    if (cap.requestsPerSecond === undefined) return {};
    const { rate, burst } = resolveRequestCap(cap.requestsPerSecond);
    const { requestsPerSecond: wanted } = demand;
    const requestsPerSecond = grantResource(question, 'requestsPerSecond', rate, wanted, 0);
    return {
      requestsPerSecond,
      requestBurst: grantResource(question, 'requestBurst', burst, wanted, 1),
    };
  };

  const grantTokens = (question: GrantInput) => {
    const { cap, demand } = question;
    if (cap.tokensPerSecond === undefined) return {};
    const { rate, burst } = resolveTokenCap(cap.tokensPerSecond);
    const { tokensPerSecond: wanted } = demand;
    return {
      tokensPerSecond: grantResource(question, 'tokensPerSecond', rate, wanted, 0),
      tokenBurst: grantResource(question, 'tokenBurst', burst, wanted, 0),
    };
  };

  const grantInFlight = (question: GrantInput) => {
    const { cap, demand } = question;
    if (cap.inFlight === undefined) return {};
    return {
      inFlight: grantResource(question, 'inFlight', cap.inFlight, demand.wantedInFlight, 1),
    };
  };

  return {
    grant: (question) => {
      sequence += 1;
      return {
        sequence,
        ...grantRequests(question),
        ...grantTokens(question),
        ...grantInFlight(question),
      };
    },
    computeHeld: (organisation, now) => {
      const shares = acquireAllocators(organisation);
      const sums = RESOURCES.map((part) => [part, shares[part].computeHeld(now)] as const);
      return Object.fromEntries(sums) as Record<GrantResource, number>;
    },
  };
};
