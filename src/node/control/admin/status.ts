import type { AdminStatus, NodeState } from '../../shared';
import type { ViewKind, ViewValues } from '../../view';
import type { ControlContext } from '../controlContext';
import type { Membership } from '../members';

/** Returns all values of one kind from the view on this host. */
export const listViewValues = <K extends ViewKind>(
  context: ControlContext,
  kind: K,
): readonly ViewValues[K][] =>
  context.configState
    .readUpdate(0, { role: 'entry', host: '' })
    .entries.filter((entry) => entry.kind === kind && entry.value !== undefined)
    .map((entry) => entry.value as ViewValues[K]);

// Without an answer from the leader, every node is shown at revision 0 and with a full lease.
const listAssumedStates = (context: ControlContext): readonly NodeState[] =>
  context.configState
    .listNodes()
    .map((record) => ({ ...record, revision: 0, leaseLeftMs: context.leaseMs }));

/**
 * Returns the status as known by this host. Also works without a quorum; `isConfirmed` is false
 * then.
 */
export const readStatus = async (
  context: ControlContext,
  members: Membership,
  host: string,
): Promise<AdminStatus> => {
  const point = await context.config.confirmRead();
  const states = await members.listNodeStates().then(
    (nodes) => ({ nodes, isKnown: true }),
    () => ({ nodes: listAssumedStates(context), isKnown: false }),
  );
  const { configState, config, ledgerShards, leaseMs } = context;
  return {
    host,
    isConfirmed: point.isRight() && states.isKnown,
    revision: configState.revision(),
    inventoryRevision: configState.inventoryRevision(),
    leaseMs,
    groups: [config.status(), ...ledgerShards.map(({ replica }) => replica.status())],
    nodes: states.nodes,
    members: listViewValues(context, 'member'),
    withdrawals: listViewValues(context, 'withdrawal'),
    rollouts: listViewValues(context, 'rollout'),
  };
};
