import { createError } from '../../errors';
import type { RpcClient } from '../../rpc';
import type { DecisionRecord, Explanation } from '../../shared';
import type { NodeRecord } from '../configState';
import type { ControlContext } from '../controlContext';
import { computeBillRows } from './bills';

interface EntryAnswer {
  readonly decisions: readonly DecisionRecord[];
}

const STEP = 'admin.explain';

const fetchDecisions = async (
  rpc: RpcClient,
  record: NodeRecord,
  requestId: string,
): Promise<readonly DecisionRecord[]> => {
  const answer = await rpc.call<EntryAnswer>(record.address, 'entry.explain', { requestId });
  return answer.map(({ decisions }) => decisions).orDefault([]);
};

// A request id holds the incarnation of the entry that took it in.
const parseIncarnation = (requestId: string): number =>
  Number.parseInt(/^req_([0-9a-z]+)_/.exec(requestId)?.[1] ?? '', 36);

const listEntries = (parts: ControlContext, requestId: string): readonly NodeRecord[] => {
  const entries = parts.configState.listNodes().filter(({ role }) => role === 'entry');
  const incarnation = parseIncarnation(requestId);
  const own = entries.filter((record) => record.incarnation === incarnation);
  return own.length > 0 ? own : entries;
};

/** Asks entries for their decisions on a request, one at a time, and adds its bill. */
export const createExplanation = async (
  parts: ControlContext,
  rpc: RpcClient,
  requestId: string,
): Promise<Explanation> => {
  (await parts.ledger.confirmRead()).unsafeCoerce();
  const own = parts.ledgerState.listBills().filter((bill) => bill.requestId === requestId);
  const bills = computeBillRows(own, [], { period: 'hour' });
  for (const record of listEntries(parts, requestId)) {
    const decisions = await fetchDecisions(rpc, record, requestId);
    if (decisions.length > 0) return { requestId, entry: record.node, decisions, bills };
  }
  if (bills.length > 0) return { requestId, entry: '', decisions: [], bills };
  const message =
    `no entry remembers '${requestId}'; an entry keeps its latest decisions only, ` +
    'and its log has them all';
  throw createError({ type: 'not_found', message, step: STEP });
};
