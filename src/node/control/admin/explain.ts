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

// A request id contains the incarnation of the entry that admitted the request.
const parseIncarnation = (requestId: string): number =>
  Number.parseInt(/^req_([0-9a-z]+)_/.exec(requestId)?.[1] ?? '', 36);

const listEntries = (context: ControlContext, requestId: string): readonly NodeRecord[] => {
  const entries = context.configState.listNodes().filter(({ role }) => role === 'entry');
  const incarnation = parseIncarnation(requestId);
  const own = entries.filter((record) => record.incarnation === incarnation);
  return own.length > 0 ? own : entries;
};

/**
 * Queries entries one at a time until one returns decisions on a request, and adds the request's
 * bill.
 */
export const createExplanation = async (
  context: ControlContext,
  rpc: RpcClient,
  requestId: string,
): Promise<Explanation> => {
  (await context.ledger.confirmRead()).unsafeCoerce();
  const own = context.ledgerState.listBills().filter((bill) => bill.requestId === requestId);
  const bills = computeBillRows(own, [], { period: 'hour' });
  for (const record of listEntries(context, requestId)) {
    const decisions = await fetchDecisions(rpc, record, requestId);
    if (decisions.length > 0) return { requestId, entry: record.node, decisions, bills };
  }
  if (bills.length > 0) return { requestId, entry: '', decisions: [], bills };
  const message =
    `no entry has decisions on request '${requestId}'; entries keep only the latest decisions ` +
    'in memory, older ones are in their logs';
  throw createError({ type: 'not_found', message, step: STEP });
};
