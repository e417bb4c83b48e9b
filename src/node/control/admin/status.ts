import type { AdminStatus, NodeState } from '../../shared';
import type { ViewKind, ViewValues } from '../../view';
import type { ControlContext } from '../controlContext';
import type { Membership } from '../members';

/** Gives all values of one kind of the view that this host holds. */
export const listViewValues = <K extends ViewKind>(
  parts: ControlContext,
  kind: K,
): readonly ViewValues[K][] =>
  parts.configState
    .readUpdate(0, { role: 'entry', host: '' })
    .entries.filter((entry) => entry.kind === kind && entry.value !== undefined)
    .map((entry) => entry.value as ViewValues[K]);

// What the leader cannot be asked about counts as behind and with a whole lease.
const listAssumedStates = (parts: ControlContext): readonly NodeState[] =>
  parts.configState
    .listNodes()
    .map((record) => ({ ...record, revision: 0, leaseLeftMs: parts.leaseMs }));

/** Reads what this host knows; it answers without a quorum too, and says so. */
export const readStatus = async (
  parts: ControlContext,
  members: Membership,
  host: string,
): Promise<AdminStatus> => {
  const point = await parts.config.confirmRead();
  const states = await members.listNodeStates().then(
    (nodes) => ({ nodes, isKnown: true }),
    () => ({ nodes: listAssumedStates(parts), isKnown: false }),
  );
  const { configState, config, ledgerShards, leaseMs } = parts;
  return {
    host,
    isConfirmed: point.isRight() && states.isKnown,
    revision: configState.revision(),
    inventoryRevision: configState.inventoryRevision(),
    leaseMs,
    groups: [config.status(), ...ledgerShards.map(({ replica }) => replica.status())],
    nodes: states.nodes,
    members: listViewValues(parts, 'member'),
    withdrawals: listViewValues(parts, 'withdrawal'),
    rollouts: listViewValues(parts, 'rollout'),
  };
};
