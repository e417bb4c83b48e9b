import { computeUseRatio, type OrganisationWork } from '../decisions';

/** Work that an organisation asks for. */
export interface AskedWork {
  readonly amount: number;
  /** Whether the pool had room, so that the work shows what the organisation usually asks for. */
  readonly isUsual: boolean;
}

/** Recent work of the organisations at this gateway, by kind of request. */
export interface OrganisationUse {
  /** Records work that an organisation asks for; usual work counts for its weight. */
  readonly recordDemand: (kind: string, organisation: string, work: AskedWork, now: number) => void;
  readonly recordUse: (kind: string, organisation: string, work: number, now: number) => void;
  /** Returns an organisation's use divided by its fair share; 0 if all get what they ask for. */
  readonly findRatio: (kind: string, organisation: string, now: number) => number;
  /** Removes organisations that have been idle for long. */
  readonly expire: (now: number) => void;
}

interface OrganisationState {
  demand: number;
  use: number;
  usual: number;
  at: number;
}

/** Time constant of recent work: about the duration of a burst's first queue, in milliseconds. */
const RECENT_MS = 4_000;
/** Time constant of the usual work, from which the weights come. */
const USUAL_MS = 120_000;
/** Lowest weight, as a fraction of the mean: an organisation that was idle is entitled to this. */
const MIN_WEIGHT_FRACTION = 0.5;
const IDLE_MS = 10 * 60_000;

const updateDecay = (state: OrganisationState, now: number): OrganisationState => {
  const elapsedMs = Math.max(0, now - state.at);
  const recent = Math.exp(-elapsedMs / RECENT_MS);
  state.demand *= recent;
  state.use *= recent;
  state.usual *= Math.exp(-elapsedMs / USUAL_MS);
  state.at = Math.max(state.at, now);
  return state;
};

/** Creates the record of organisations' work. */
export const createOrganisationUse = (): OrganisationUse => {
  const kinds = new Map<string, Map<string, OrganisationState>>();

  const acquire = (kind: string, organisation: string, now: number): OrganisationState => {
    const states = kinds.get(kind) ?? new Map<string, OrganisationState>();
    kinds.set(kind, states);
    const known = states.get(organisation);
    if (known) return updateDecay(known, now);
    const created = { demand: 0, use: 0, usual: 0, at: now };
    states.set(organisation, created);
    return created;
  };

  const listWorks = (
    states: ReadonlyMap<string, OrganisationState>,
    now: number,
  ): ReadonlyMap<string, OrganisationWork> => {
    const updated = [...states].map(([name, state]) => [name, updateDecay(state, now)] as const);
    const usualSum = updated.reduce((sum, [, { usual }]) => sum + usual, 0);
    const minWeight = (MIN_WEIGHT_FRACTION * usualSum) / Math.max(1, updated.length);
    return new Map(
      updated.map(([name, { demand, use, usual }]) => [
        name,
        { demand, use, weight: Math.max(minWeight, usual) },
      ]),
    );
  };

  return {
    recordDemand: (kind, organisation, { amount, isUsual }, now) => {
      const state = acquire(kind, organisation, now);
      state.demand += amount;
      if (isUsual) state.usual += amount;
    },
    recordUse: (kind, organisation, work, now) => {
      const state = acquire(kind, organisation, now);
      state.use += work;
    },
    findRatio: (kind, organisation, now) => {
      const works = listWorks(kinds.get(kind) ?? new Map(), now);
      const work = works.get(organisation);
      return work ? computeUseRatio(work, [...works.values()]) : 0;
    },
    expire: (now) => {
      for (const [kind, states] of kinds) {
        for (const [name, { at }] of states) if (now - at > IDLE_MS) states.delete(name);
        if (states.size === 0) kinds.delete(kind);
      }
    },
  };
};
