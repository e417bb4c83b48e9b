import {
  ENTRY_HALT_FRACTION,
  formatRolloutName,
  judgeRollout,
  mergeRolloutCells,
  type RolloutReport,
  type RolloutVerdict,
} from '../../decisions';
import type { Rules } from '../../inventory';
import type { Rollout } from '../../view';

/** Collects the entries' reports on roll-outs in memory and judges the roll-outs. */
export interface RolloutGuard {
  readonly record: (node: string, reports: readonly RolloutReport[]) => void;
  readonly judge: (rollout: Rollout, rules: Rules['rollout']) => RolloutVerdict;
  readonly removeUnlisted: (rollouts: readonly Rollout[], nodes: ReadonlySet<string>) => void;
}

const HOLD: RolloutVerdict = { type: 'hold' };

/** Creates a guard without any reports. */
export const createRolloutGuard = (): RolloutGuard => {
  const reports = new Map<string, Map<string, RolloutReport>>();

  const acquireReports = (name: string): Map<string, RolloutReport> => {
    const known = reports.get(name);
    if (known) return known;
    const created = new Map<string, RolloutReport>();
    reports.set(name, created);
    return created;
  };

  const findHaltReason = (list: readonly RolloutReport[]): string | undefined =>
    list.find((report) => report.brake !== undefined)?.brake;

  const judgeActive = (
    rollout: Rollout,
    rules: Rules['rollout'],
    list: readonly RolloutReport[],
  ): RolloutVerdict => {
    const cells = mergeRolloutCells(list.map((report) => report.cells));
    const falseHaltRate = rules.falseHaltRate * (1 - ENTRY_HALT_FRACTION);
    const verdict = judgeRollout({ ...rules, falseHaltRate }, rollout.step, cells);
    return rollout.state === 'paused' && verdict.type !== 'withdraw' ? HOLD : verdict;
  };

  return {
    record: (node, list) => list.forEach((report) => acquireReports(report.name).set(node, report)),
    judge: (rollout, rules) => {
      const list = [...acquireReports(formatRolloutName(rollout)).values()];
      const reason = findHaltReason(list);
      if (reason !== undefined) return { type: 'withdraw', reason };
      return rollout.state === 'done' ? HOLD : judgeActive(rollout, rules, list);
    },
    removeUnlisted: (rollouts, nodes) => {
      const names = new Set(rollouts.map(formatRolloutName));
      for (const [name, byNode] of reports) {
        if (!names.has(name)) reports.delete(name);
        for (const node of [...byNode.keys()]) if (!nodes.has(node)) byNode.delete(node);
      }
    },
  };
};
