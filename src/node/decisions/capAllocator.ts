/** Part of one capped resource that a node holds until a time on the granter's clock. */
interface Allocation {
  readonly sequence: number;
  readonly amount: number;
  readonly expiresAt: number;
}

interface NodeAllocations {
  allocations: readonly Allocation[];
  demand: number;
  demandAt: number;
  /** Work that is under way whatever the grants say, and until when it may be. */
  used: number;
  usedUntil: number;
}

/** What a node says of one resource. */
export interface AllocationReport {
  readonly node: string;
  /** How much the node could use now. */
  readonly demand: number;
  /** How much is in use and cannot be taken back. */
  readonly used: number;
  /** What the node holds by its own reckoning; counts while a new granter gets to know the nodes. */
  readonly held: number;
  /** The newest grant that the node has put in force; older ones are void. */
  readonly applied: number;
}

/** How one share is granted. */
export interface AllocationOptions {
  readonly now: number;
  readonly sequence: number;
  /** The cap that all unexpired shares keep in sum. */
  readonly cap: number;
  readonly lifetimeMs: number;
  /** Time for which work that was started under a grant may outlast it. */
  readonly outlastMs: number;
  /** Smallest share of use; less is granted as nothing. */
  readonly smallest: number;
  /** Whole units only. */
  readonly isWhole: boolean;
  /** True while nodes that hold shares may be unknown: then nothing grows. */
  readonly isRecovering: boolean;
}

/** The shares of one capped resource. */
export interface CapAllocator {
  readonly grant: (report: AllocationReport, terms: AllocationOptions) => number;
  /** Sums what may be in use at a time. */
  readonly computeHeld: (now: number) => number;
}

const DEMAND_LIFETIME_MS = 5_000;

const computeNodeHeld = (holder: NodeAllocations, now: number): number => {
  const granted = holder.allocations
    .filter((holding) => holding.expiresAt > now)
    .reduce((most, holding) => Math.max(most, holding.amount), 0);
  const used = holder.usedUntil > now ? holder.used : 0;
  return Math.max(granted, used);
};

/** Computes the level up to which every demand is met when the cap is shared max-min fairly. */
export const computeFairLevel = (demands: readonly number[], cap: number): number => {
  const sorted = [...demands].sort((a, b) => a - b);
  let left = cap;
  for (let index = 0; index < sorted.length; index += 1) {
    const even = left / (sorted.length - index);
    if (sorted[index]! >= even) return even;
    left -= sorted[index]!;
  }
  return Infinity;
};

/** Creates the shares of one resource; nobody holds any. */
export const createCapAllocator = (): CapAllocator => {
  const holders = new Map<string, NodeAllocations>();

  const acquireNode = (node: string): NodeAllocations => {
    const known = holders.get(node);
    if (known) return known;
    const holder: NodeAllocations = {
      allocations: [],
      demand: 0,
      demandAt: 0,
      used: 0,
      usedUntil: 0,
    };
    holders.set(node, holder);
    return holder;
  };

  const computeHeld = (now: number): number => {
    let sum = 0;
    for (const holder of holders.values()) sum += computeNodeHeld(holder, now);
    return sum;
  };

  const computeTarget = (own: NodeAllocations, terms: AllocationOptions): number => {
    const { now, cap } = terms;
    const demands = [...holders.values()]
      .filter((holder) => holder.demandAt + DEMAND_LIFETIME_MS > now)
      .map((holder) => holder.demand);
    const level = computeFairLevel(demands, cap);
    if (own.demand <= 0) return 0;
    if (level !== Infinity) return Math.min(own.demand, level);
    const wanted = demands.reduce((sum, demand) => sum + demand, 0);
    const spare = cap - wanted;
    return own.demand + (spare * own.demand) / wanted;
  };

  const expireNodes = (now: number): void => {
    for (const [node, holder] of holders) {
      const isIdle = holder.demandAt + DEMAND_LIFETIME_MS <= now;
      if (isIdle && computeNodeHeld(holder, now) === 0) holders.delete(node);
    }
  };

  const recordReport = (
    holder: NodeAllocations,
    report: AllocationReport,
    terms: AllocationOptions,
  ): void => {
    const state = holder;
    const { now, lifetimeMs, outlastMs } = terms;
    state.allocations = holder.allocations.filter(
      (holding) => holding.expiresAt > now && holding.sequence >= report.applied,
    );
    state.demand = report.demand;
    state.demandAt = now;
    state.used = report.used;
    state.usedUntil = now + lifetimeMs + outlastMs;
    if (terms.isRecovering && state.allocations.length === 0 && report.held > 0) {
      const expiresAt = now + lifetimeMs + outlastMs;
      state.allocations = [{ sequence: report.applied, amount: report.held, expiresAt }];
    }
  };

  const resolveAmount = (wanted: number, terms: AllocationOptions): number => {
    const amount = terms.isWhole ? Math.floor(wanted + 1e-9) : wanted;
    return amount >= terms.smallest ? amount : 0;
  };

  const grant: CapAllocator['grant'] = (report, terms) => {
    const { now, cap, lifetimeMs, outlastMs, sequence } = terms;
    expireNodes(now);
    const holder = acquireNode(report.node);
    recordReport(holder, report, terms);
    const others = computeHeld(now) - computeNodeHeld(holder, now);
    const free = Math.max(0, cap - others);
    const target = Math.max(terms.smallest, computeTarget(holder, terms));
    const bound = terms.isRecovering ? Math.min(free, report.held) : free;
    const wanted = holder.demand > 0 ? Math.min(bound, target) : 0;
    const amount = resolveAmount(wanted, terms);
    const expiresAt = now + lifetimeMs + outlastMs;
    holder.allocations = [...holder.allocations, { sequence, amount, expiresAt }];
    return amount;
  };

  return { grant, computeHeld };
};
