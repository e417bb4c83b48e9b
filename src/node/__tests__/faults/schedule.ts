import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

/** The kinds of fault that a schedule can contain. */
export const FAULT_KINDS = [
  'kill',
  'freeze',
  'cutRequests',
  'cutAnswers',
  'silence',
  'cutControl',
  'plannedStop',
] as const;

/** A kind of fault. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** A fault of a schedule. `startMs` counts from the start of the load. */
export interface PlannedFault {
  readonly kind: FaultKind;
  readonly node: string;
  readonly startMs: number;
  readonly durationMs: number;
}

/** The faults and inventory changes of one run, with times from the start of the load. */
export interface Schedule {
  readonly seed: number;
  readonly faults: readonly PlannedFault[];
  readonly withdrawMs: number;
  readonly leaveMs?: number;
}

/** A seeded source of random integers. */
export interface Draws {
  readonly readInteger: (below: number) => number;
  readonly choose: <T>(items: readonly T[]) => T;
}

/** Creates a random source from a seed. */
export const createDraws = (seed: number): Draws => {
  const generator = xoroshiro128plus(seed);
  const readInteger = (below: number): number =>
    unsafeUniformIntDistribution(0, below - 1, generator);
  return { readInteger, choose: (items) => items[readInteger(items.length)]! };
};

const FAULTS_PER_RUN = 3;
/** Duration of the load. Every fault starts within it. */
export const LOAD_MS = 10_000;
const LAST_START_MS = 6_000;
const LEASE_MS = 5_000;

const DURATIONS: Readonly<Record<FaultKind, (draws: Draws) => number>> = {
  kill: (draws) => 200 + draws.readInteger(1_500),
  // Longer than a lease, so that the lease has expired when the node resumes.
  freeze: (draws) => LEASE_MS + 500 + draws.readInteger(2_000),
  cutRequests: (draws) => 500 + draws.readInteger(4_000),
  cutAnswers: (draws) => 500 + draws.readInteger(4_000),
  silence: () => 0,
  cutControl: (draws) => LEASE_MS + draws.readInteger(3_000),
  plannedStop: (draws) => draws.readInteger(500),
};

const AGENTS = ['agent-1', 'agent-2', 'agent-3'] as const;
const ENTRIES = ['entry-1', 'entry-2'] as const;
const CONTROLS = ['control-1', 'control-2', 'control-3'] as const;
const ALL = [...AGENTS, ...ENTRIES, ...CONTROLS] as const;

const NODES: Readonly<Record<FaultKind, readonly string[]>> = {
  kill: ALL,
  freeze: ALL,
  cutRequests: AGENTS,
  cutAnswers: AGENTS,
  silence: AGENTS,
  cutControl: [...AGENTS, ...ENTRIES],
  plannedStop: ALL,
};

/** Creates the schedule of a seed, with at most one fault per node. */
export const createSchedule = (seed: number): Schedule => {
  const draws = createDraws(seed);
  const faults: PlannedFault[] = [];
  while (faults.length < FAULTS_PER_RUN) {
    const kind = draws.choose(FAULT_KINDS);
    const node = draws.choose(NODES[kind]);
    const startMs = draws.readInteger(LAST_START_MS);
    const durationMs = DURATIONS[kind](draws);
    const isFree = !faults.some((fault) => fault.node === node);
    if (isFree) faults.push({ kind, node, startMs, durationMs });
  }
  const withdrawMs = 1_000 + draws.readInteger(2_000);
  const hasLeaving = draws.readInteger(2) === 0;
  const leaveMs = hasLeaving ? 1_000 + draws.readInteger(2_000) : undefined;
  return { seed, faults, withdrawMs, leaveMs };
};
