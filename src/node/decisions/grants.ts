import type { Cap } from '../inventory';
import { createCapAllocator, type CapAllocator } from './capAllocator';

/** A grant of an organisation's cap to one entry; an absent field is not capped. */
export interface Grant {
  readonly sequence: number;
  readonly requestsPerSecond?: number;
  /** Depth of the request bucket. */
  readonly requestBurst?: number;
  readonly tokensPerSecond?: number;
  readonly tokenBurst?: number;
  readonly inFlight?: number;
}

/** Demand of one organisation at one entry. */
export interface Demand {
  /** Requests per second that arrived, admitted or not. */
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  /** Requests in flight and waiting. */
  readonly wantedInFlight: number;
  readonly inFlight: number;
  /** The grant in effect at the entry, if any. */
  readonly held?: Grant;
  /** Sequence of the newest installed grant; 0 before the first. */
  readonly applied: number;
}

/** Grants of all organisation caps. */
export interface GrantTable {
  /** Grants an entry its share of one organisation's cap. */
  readonly grant: (input: GrantInput) => Grant;
  /** Sums the amounts of a cap that entries may hold, by resource. */
  readonly computeHeld: (
    organisation: string,
    now: number,
  ) => Readonly<Record<GrantResource, number>>;
}

/** Input for a grant. */
export interface GrantInput {
  readonly entry: string;
  readonly organisation: string;
  readonly cap: Cap;
  readonly demand: Demand;
  readonly now: number;
  /** True while entries that have not reported may hold grants of an earlier leader. */
  readonly isRecovering: boolean;
}

/** The capped resources of a grant. */
export type GrantResource =
  'requestsPerSecond' | 'requestBurst' | 'tokensPerSecond' | 'tokenBurst' | 'inFlight';

/** Options of `createGrantTable`. */
export interface GrantOptions {
  /** Validity period of a grant, in milliseconds. */
  readonly lifetimeMs: number;
  /** Longest time that a request may run, in milliseconds. */
  readonly runLimitMs: number;
  /** Start of the sequence, above all sequences of earlier leaders. */
  readonly firstSequence: number;
}

/** Length of the sliding window over which rate caps hold. */
export const CAP_WINDOW_SECONDS = 10;

/** Fraction of a window's work that may arrive in one burst. */
const BURST_FRACTION = 0.05;
const MIN_BURST_REQUESTS = 3;
const RESOURCES: readonly GrantResource[] = [
  'requestsPerSecond',
  'requestBurst',
  'tokensPerSecond',
  'tokenBurst',
  'inFlight',
];

/**
 * Splits a rate cap into a steady rate and a burst that together stay within the cap over every
 * window: `rate * window + burst <= cap * window`.
 */
export const resolveRateCap = (cap: number, minBurst: number) => {
  const windowBurst = cap * CAP_WINDOW_SECONDS * BURST_FRACTION;
  const burst = Math.max(windowBurst, minBurst);
  return { rate: Math.max(0, cap - burst / CAP_WINDOW_SECONDS), burst };
};

const resolveRequestCap = (cap: number) =>
  resolveRateCap(cap, Math.max(1, Math.min(cap, MIN_BURST_REQUESTS)));

const resolveTokenCap = (cap: number) => resolveRateCap(cap, 0);

type CapAllocators = Readonly<Record<GrantResource, CapAllocator>>;

const createAllocators = (): CapAllocators => ({
  requestsPerSecond: createCapAllocator(),
  requestBurst: createCapAllocator(),
  tokensPerSecond: createCapAllocator(),
  tokenBurst: createCapAllocator(),
  inFlight: createCapAllocator(),
});

/** Creates a table without grants. The sum of unexpired grants never exceeds a cap. */
export const createGrantTable = (options: GrantOptions): GrantTable => {
  const allocatorsByOrganisation = new Map<string, CapAllocators>();
  const { lifetimeMs, runLimitMs } = options;
  let sequence = options.firstSequence;

  const acquireAllocators = (organisation: string): CapAllocators => {
    const known = allocatorsByOrganisation.get(organisation);
    if (known) return known;
    const allocators = createAllocators();
    allocatorsByOrganisation.set(organisation, allocators);
    return allocators;
  };

  const grantResource = (
    input: GrantInput,
    resource: GrantResource,
    cap: number,
    demand: number,
    smallest: number,
  ): number => {
    const { entry: node, organisation, now, isRecovering } = input;
    const { held, applied } = input.demand;
    const isWhole = resource === 'inFlight';
    const used = isWhole ? input.demand.inFlight : 0;
    const report = { node, demand, used, held: held?.[resource] ?? 0, applied };
    const outlastMs = isWhole ? runLimitMs : 0;
    const allocationOptions = {
      now,
      sequence,
      cap,
      lifetimeMs,
      outlastMs,
      smallest,
      isWhole,
      isRecovering,
    };
    return acquireAllocators(organisation)[resource].grant(report, allocationOptions);
  };

  const grantRequests = (input: GrantInput) => {
    const { cap, demand } = input;
    if (cap.requestsPerSecond === undefined) return {};
    const { rate, burst } = resolveRequestCap(cap.requestsPerSecond);
    const { requestsPerSecond: wanted } = demand;
    const requestsPerSecond = grantResource(input, 'requestsPerSecond', rate, wanted, 0);
    return {
      requestsPerSecond,
      requestBurst: grantResource(input, 'requestBurst', burst, wanted, 1),
    };
  };

  const grantTokens = (input: GrantInput) => {
    const { cap, demand } = input;
    if (cap.tokensPerSecond === undefined) return {};
    const { rate, burst } = resolveTokenCap(cap.tokensPerSecond);
    const { tokensPerSecond: wanted } = demand;
    return {
      tokensPerSecond: grantResource(input, 'tokensPerSecond', rate, wanted, 0),
      tokenBurst: grantResource(input, 'tokenBurst', burst, wanted, 0),
    };
  };

  const grantInFlight = (input: GrantInput) => {
    const { cap, demand } = input;
    if (cap.inFlight === undefined) return {};
    return {
      inFlight: grantResource(input, 'inFlight', cap.inFlight, demand.wantedInFlight, 1),
    };
  };

  return {
    grant: (input) => {
      sequence += 1;
      return {
        sequence,
        ...grantRequests(input),
        ...grantTokens(input),
        ...grantInFlight(input),
      };
    },
    computeHeld: (organisation, now) => {
      const shares = acquireAllocators(organisation);
      const sums = RESOURCES.map((part) => [part, shares[part].computeHeld(now)] as const);
      return Object.fromEntries(sums) as Record<GrantResource, number>;
    },
  };
};
