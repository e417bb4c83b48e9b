// Load pattern: one organisation sends several times its usual load while the endpoints of a service
// can't serve everyone. The others keep what they usually get.

/** Recent work of one organisation, in any unit that all organisations share. */
export interface OrganisationWork {
  /** Work that it asked for lately. */
  readonly demand: number;
  /** Work of it that was admitted lately. */
  readonly use: number;
  /** Share that it is entitled to, relative to the others. */
  readonly weight: number;
}

const computeSum = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0);

/**
 * Computes the level of weighted max-min fairness: each organisation gets its demand or its weight
 * times this level, whichever is less, and together they get the capacity.
 */
export const computeWeightedLevel = (
  works: readonly Pick<OrganisationWork, 'demand' | 'weight'>[],
  capacity: number,
): number => {
  const sorted = works
    .filter(({ weight }) => weight > 0)
    .sort((a, b) => a.demand / a.weight - b.demand / b.weight);
  let remaining = capacity;
  let weights = computeSum(sorted.map(({ weight }) => weight));
  for (const { demand, weight } of sorted) {
    const level = remaining / weights;
    if (demand / weight > level) return Math.max(0, level);
    remaining -= demand;
    weights -= weight;
  }
  return Infinity;
};

/** Computes an organisation's use divided by its fair share of what all of them used. */
export const computeUseRatio = (
  work: OrganisationWork,
  works: readonly OrganisationWork[],
): number => {
  const level = computeWeightedLevel(works, computeSum(works.map(({ use }) => use)));
  if (level === Infinity) return 0;
  const fairShare = level * work.weight;
  return fairShare > 0 ? work.use / fairShare : 1;
};
