/** Amount of one capped resource allocated to a node until a time on the allocator's clock. */
interface Allocation {
  readonly sequence: number;
  readonly amount: number;
  readonly expiresAt: number;
}

interface NodeAllocations {
  allocations: readonly Allocation[];
  demand: number;
  demandAt: number;
  /**
   * Amount in use by running work regardless of grants, and the time until which it may be in use.
   */
  used: number;
  usedUntil: number;
}

/** Report of a node about one resource. */
export interface AllocationReport {
  readonly node: string;
  /** Amount that the node could use now. */
  readonly demand: number;
  /** Amount in use that cannot be revoked. */
  readonly used: number;
  /** Amount that the node reports to hold. It counts while a new allocator recovers its state. */
  readonly held: number;
  /** Sequence of the newest grant that the node has installed; older grants are void. */
  readonly applied: number;
}

/** Options of one allocation. */
export interface AllocationOptions {
  readonly now: number;
  readonly sequence: number;
  /** Upper bound for the sum of all unexpired allocations. */
  readonly cap: number;
  readonly lifetimeMs: number;
  /** Time in milliseconds for which work started under a grant may continue after it expires. */
  readonly outlastMs: number;
  /** Smallest useful amount; a smaller one is granted as zero. */
  readonly smallest: number;
  /** Whether only whole units are allocated. */
  readonly isWhole: boolean;
  /** True while unknown nodes may hold allocations. No allocation grows during that time. */
  readonly isRecovering: boolean;
}

/** Allocates one capped resource to nodes. */
export interface CapAllocator {
  readonly grant: (report: AllocationReport, options: AllocationOptions) => number;
  /** Sums the amounts that may be in use at a time. */
  readonly computeHeld: (now: number) => number;
}

const DEMAND_LIFETIME_MS = 5_000;

const computeNodeHeld = (nodeState: NodeAllocations, now: number): number => {
  const granted = nodeState.allocations
    .filter((allocation) => allocation.expiresAt > now)
    .reduce((largest, allocation) => Math.max(largest, allocation.amount), 0);
  const used = nodeState.usedUntil > now ? nodeState.used : 0;
  return Math.max(granted, used);
};

/**
 * Computes the level of max-min fair sharing: smaller demands are met in full, larger ones get this
 * level. Returns infinity when the cap meets all demands.
 */
export const computeFairLevel = (demands: readonly number[], cap: number): number => {
  const sorted = [...demands].sort((a, b) => a - b);
  let remaining = cap;
  for (let index = 0; index < sorted.length; index += 1) {
    const equalShare = remaining / (sorted.length - index);
    if (sorted[index]! >= equalShare) return equalShare;
    remaining -= sorted[index]!;
  }
  return Infinity;
};

/** Creates an allocator for one resource without allocations. */
export const createCapAllocator = (): CapAllocator => {
  const nodes = new Map<string, NodeAllocations>();

  const acquireNode = (node: string): NodeAllocations => {
    const known = nodes.get(node);
    if (known) return known;
    const nodeState: NodeAllocations = {
      allocations: [],
      demand: 0,
      demandAt: 0,
      used: 0,
      usedUntil: 0,
    };
    nodes.set(node, nodeState);
    return nodeState;
  };

  const computeHeld = (now: number): number => {
    let sum = 0;
    for (const nodeState of nodes.values()) sum += computeNodeHeld(nodeState, now);
    return sum;
  };

  const computeTarget = (own: NodeAllocations, options: AllocationOptions): number => {
    const { now, cap } = options;
    const demands = [...nodes.values()]
      .filter((nodeState) => nodeState.demandAt + DEMAND_LIFETIME_MS > now)
      .map((nodeState) => nodeState.demand);
    const level = computeFairLevel(demands, cap);
    if (own.demand <= 0) return 0;
    if (level !== Infinity) return Math.min(own.demand, level);
    const wanted = demands.reduce((sum, demand) => sum + demand, 0);
    const spare = cap - wanted;
    return own.demand + (spare * own.demand) / wanted;
  };

  const expireNodes = (now: number): void => {
    for (const [node, nodeState] of nodes) {
      const isIdle = nodeState.demandAt + DEMAND_LIFETIME_MS <= now;
      if (isIdle && computeNodeHeld(nodeState, now) === 0) nodes.delete(node);
    }
  };

  const recordReport = (
    nodeState: NodeAllocations,
    report: AllocationReport,
    options: AllocationOptions,
  ): void => {
    const state = nodeState;
    const { now, lifetimeMs, outlastMs } = options;
    state.allocations = nodeState.allocations.filter(
      (allocation) => allocation.expiresAt > now && allocation.sequence >= report.applied,
    );
    state.demand = report.demand;
    state.demandAt = now;
    state.used = report.used;
    state.usedUntil = now + lifetimeMs + outlastMs;
    if (options.isRecovering && state.allocations.length === 0 && report.held > 0) {
      const expiresAt = now + lifetimeMs + outlastMs;
      state.allocations = [{ sequence: report.applied, amount: report.held, expiresAt }];
    }
  };

  const resolveAmount = (wanted: number, options: AllocationOptions): number => {
    const amount = options.isWhole ? Math.floor(wanted + 1e-9) : wanted;
    return amount >= options.smallest ? amount : 0;
  };

  const grant: CapAllocator['grant'] = (report, options) => {
    const { now, cap, lifetimeMs, outlastMs, sequence } = options;
    expireNodes(now);
    const nodeState = acquireNode(report.node);
    recordReport(nodeState, report, options);
    const others = computeHeld(now) - computeNodeHeld(nodeState, now);
    const free = Math.max(0, cap - others);
    const target = Math.max(options.smallest, computeTarget(nodeState, options));
    const bound = options.isRecovering ? Math.min(free, report.held) : free;
    const wanted = nodeState.demand > 0 ? Math.min(bound, target) : 0;
    const amount = resolveAmount(wanted, options);
    const expiresAt = now + lifetimeMs + outlastMs;
    nodeState.allocations = [...nodeState.allocations, { sequence, amount, expiresAt }];
    return amount;
  };

  return { grant, computeHeld };
};
