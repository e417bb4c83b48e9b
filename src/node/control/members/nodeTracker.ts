/** Last known lease renewal of a node, with the revision of the view that the node had. */
export interface Sighting {
  readonly node: string;
  readonly incarnation: number;
  readonly revision: number;
  /** Monotonic time in milliseconds. */
  readonly seenAt: number;
}

/** The latest sighting of each node. */
export interface NodeTracker {
  /** Records a sighting unless a newer one is known. */
  readonly record: (sighting: Sighting) => void;
  readonly find: (node: string) => Sighting | undefined;
  readonly list: () => readonly Sighting[];
  readonly remove: (node: string) => void;
  /** Returns and clears the sightings recorded since the last call. */
  readonly takeRecent: () => readonly Sighting[];
}

const isNewer = (a: Sighting, b: Sighting | undefined): boolean =>
  b === undefined ||
  a.incarnation > b.incarnation ||
  (a.incarnation === b.incarnation && a.seenAt >= b.seenAt);

/** Creates an empty tracker. */
export const createNodeTracker = (): NodeTracker => {
  const sightings = new Map<string, Sighting>();
  const recent = new Map<string, Sighting>();
  return {
    record: (sighting) => {
      if (!isNewer(sighting, sightings.get(sighting.node))) return;
      sightings.set(sighting.node, sighting);
      recent.set(sighting.node, sighting);
    },
    find: (node) => sightings.get(node),
    list: () => [...sightings.values()],
    remove: (node) => {
      sightings.delete(node);
      recent.delete(node);
    },
    takeRecent: () => {
      const taken = [...recent.values()];
      recent.clear();
      return taken;
    },
  };
};
