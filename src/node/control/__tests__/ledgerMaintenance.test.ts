import test from 'ava';
import pino from 'pino';
import { Left, Right } from 'purify-ts';
import { createError } from '../../errors';
import { createLedgerState, type LedgerCommand, type LedgerResult } from '../../ledger';
import type { Replica } from '../../replication';
import type { RpcClient } from '../../rpc';
import { createConfigState } from '../configState';
import type { ControlContext } from '../controlContext';
import { createLedgerMaintenance } from '../ledgerMaintenance';

const ENTRY = { node: 'entry-1', incarnation: 5 };
const TARGET = { model: 'small', version: 'v1' };
const USAGE = { ...TARGET, inputTokens: 10, outputTokens: 12, cost: 0.034 };
const REQUEST = { organisation: 'yard', requestId: 'req_5_a' };

const createMaintenance = (agentEnd: 'never' | 'unknown' | 'unreachable') => {
  const state = createLedgerState();
  const configState = createConfigState();
  const agent = { node: 'agent-1', role: 'agent', zone: 'a', host: 'h', address: '127.0.0.1:1' };
  configState.apply(1, { type: 'register', ...agent, bootId: 'b' });
  const { incarnation } = configState.findNode('agent-1')!;
  let index = 0;
  const apply = (command: LedgerCommand): LedgerResult => {
    index += 1;
    return state.apply(index, command);
  };
  const replica = {
    propose: async (command: LedgerCommand) => Right({ index, term: 1, result: apply(command) }),
    status: () => ({ role: 'leader' }),
  } as unknown as Replica<LedgerCommand, LedgerResult>;
  const config = { confirmRead: async () => Right({ term: 1, index: 1 }) };
  const context = {
    config,
    configState,
    log: pino({ level: 'silent' }),
  } as unknown as ControlContext;
  const failure = createError({ type: 'timeout', message: 'no answer', step: 'test' });
  const call = async () =>
    agentEnd === 'unreachable' ? Left(failure) : Right({ type: 'ended', state: agentEnd });
  const rpc = { call } as unknown as Pick<RpcClient, 'call'>;
  const maintenance = createLedgerMaintenance(context, { replica, state }, rpc);
  const place = { agent: 'agent-1', incarnation };
  return { maintenance, state, apply, place };
};

const cases = [
  { name: 'an agent that never received the attempt refuses it', agentEnd: 'never', isFinal: true },
  {
    name: 'an agent that has the attempt reports its end itself',
    agentEnd: 'unknown',
    isFinal: false,
  },
  { name: 'an agent that does not answer is asked again', agentEnd: 'unreachable', isFinal: false },
] as const;

for (const { name, agentEnd, isFinal } of cases) {
  test(`attempt announced by an entry that is no longer registered: ${name}`, async (t) => {
    const { maintenance, state, apply, place } = createMaintenance(agentEnd);
    const intent = {
      type: 'intent',
      ...REQUEST,
      ...place,
      ...TARGET,
      owner: ENTRY,
      at: 1,
    } as const;
    const report = { attempt: 0, ...place, ...TARGET, outcome: 'ran', usage: USAGE } as const;
    apply({ ...intent, attempt: 0 });
    apply({ type: 'report', ...REQUEST, report, owner: ENTRY, at: 2 });
    apply({ ...intent, attempt: 1 });
    await maintenance.settleUnregistered();
    t.false(state.listBills()[0]!.final, 'the second attempt is open');
    await maintenance.refuseOrphans();
    t.is(state.listBills()[0]!.final, isFinal);
    t.is(state.listBills()[0]!.usage.length, 1);
  });

  test(`attempt announced before a deferred request got another owner: ${name}`, async (t) => {
    const { maintenance, state, apply, place } = createMaintenance(agentEnd);
    const common = { ...REQUEST, ...place, ...TARGET };
    const second = { node: 'entry-2', incarnation: 6 };
    const request = { path: '/v1/chat/completions', headers: {}, body: 'e30=' };
    const deferred = { session: 's', idempotent: true, request, at: 0 };
    apply({ type: 'defer', ...REQUEST, ...deferred });
    const take = { type: 'take', limit: 1, holds: [], at: 1 } as const;
    apply({ ...take, owner: ENTRY });
    apply({ type: 'intent', ...common, attempt: 0, owner: ENTRY, at: 1 });
    apply({ type: 'endIncarnation', node: ENTRY.node, below: ENTRY.incarnation + 1, at: 2 });
    apply({ ...take, owner: second, at: 3 });
    apply({ type: 'intent', ...common, attempt: 100, owner: second, at: 3 });
    const report = { attempt: 100, ...place, ...TARGET, outcome: 'ran', usage: USAGE } as const;
    const settle = {
      type: 'settle',
      ...REQUEST,
      outcome: 'ran',
      reports: [report],
      at: 4,
    } as const;
    apply({ ...settle, owner: second });
    t.is(state.findRequest(REQUEST.organisation, REQUEST.requestId)?.state, 'done');
    t.false(state.listBills()[0]!.final, 'the first attempt is open');
    await maintenance.refuseOrphans();
    t.is(state.listBills()[0]!.final, isFinal);
  });
}
