import {
  computeDecay,
  computeScaledTally,
  EMPTY_TALLY,
  formatCellName,
  mergeTallies,
  removeTally,
  type CellName,
  type CellTally,
  type Tally,
} from '../../decisions';

/** In-memory tallies of all entries, per cell. */
export interface CellStore {
  /** Replaces the tally that one entry has reported for a cell. */
  readonly update: (node: string, cell: Omit<CellTally, 'at'>, now: number) => void;
  /** Returns the other entries' tallies of all cells that changed since this entry's last call. */
  readonly listChanged: (node: string, now: number) => readonly Omit<CellTally, 'at'>[];
  readonly removeNode: (node: string) => void;
}

interface NodeTally {
  readonly tally: Tally;
  readonly at: number;
}

interface Cell {
  readonly name: CellName;
  readonly tallies: Map<string, NodeTally>;
  total: Tally;
  totalAt: number;
  version: number;
}

/**
 * A cell whose decayed ratings and requests sum to less than this carries no information and can be
 * removed.
 */
const MIN_COUNT = 0.01;

/**
 * Creates an empty store. Tallies decay with the given half-life. All times are monotonic, in
 * milliseconds.
 */
export const createCellStore = (halfLifeMs: number): CellStore => {
  const cells = new Map<string, Cell>();
  const seen = new Map<string, number>();
  let version = 0;

  const computeAged = (nodeTally: NodeTally | undefined, now: number): Tally =>
    nodeTally
      ? computeScaledTally(nodeTally.tally, computeDecay(now - nodeTally.at, halfLifeMs))
      : EMPTY_TALLY;

  const acquireCell = (name: CellName, now: number): Cell => {
    const key = formatCellName(name);
    const known = cells.get(key);
    if (known) return known;
    const cell = { name, tallies: new Map(), total: EMPTY_TALLY, totalAt: now, version: 0 };
    cells.set(key, cell);
    return cell;
  };

  const readTotal = (cell: Cell, now: number): Tally =>
    computeAged({ tally: cell.total, at: cell.totalAt }, now);

  const update: CellStore['update'] = (node, { name, tally }, now) => {
    const cell = acquireCell(name, now);
    const before = computeAged(cell.tallies.get(node), now);
    cell.total = mergeTallies(removeTally(readTotal(cell, now), before), tally);
    cell.totalAt = now;
    cell.tallies.set(node, { tally, at: now });
    version += 1;
    cell.version = version;
  };

  const listChanged: CellStore['listChanged'] = (node, now) => {
    const since = seen.get(node) ?? 0;
    seen.set(node, version);
    const changed = [...cells.values()].filter((cell) => cell.version > since);
    return changed.map((cell) => ({
      name: cell.name,
      tally: removeTally(readTotal(cell, now), computeAged(cell.tallies.get(node), now)),
    }));
  };

  const removeNode = (node: string): void => {
    seen.delete(node);
    for (const [key, cell] of cells) {
      const nodeTally = cell.tallies.get(node);
      // The tally of a removed entry stays in the total, without an owner.
      cell.tallies.delete(node);
      const isEmpty = cell.total.requests + cell.total.scores < MIN_COUNT;
      if (nodeTally && cell.tallies.size === 0 && isEmpty) cells.delete(key);
    }
  };

  return { update, listChanged, removeNode };
};
