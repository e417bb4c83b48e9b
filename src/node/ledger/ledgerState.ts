import type { StateMachine } from '../replication';
import type { Bill, LedgerCommand, LedgerResult, RequestRecord } from './types';

interface Binding {
  readonly model: string;
  readonly version: string;
}

interface Claim {
  readonly bodyHash: string;
  readonly requestId: string;
}

interface Tables {
  readonly bindings: Map<string, Binding>;
  readonly claims: Map<string, Claim>;
  readonly requests: Map<string, RequestRecord>;
  readonly bills: Map<string, Bill>;
}

/** The `ledger` state machine with its reads. */
export interface LedgerState extends StateMachine<LedgerCommand, LedgerResult> {
  readonly findRequest: (organisation: string, requestId: string) => RequestRecord | undefined;
  readonly findBinding: (organisation: string, session: string) => Binding | undefined;
  readonly listBills: () => readonly Bill[];
}

type Handlers = {
  readonly [T in LedgerCommand['type']]: (
    tables: Tables,
    command: Extract<LedgerCommand, { readonly type: T }>,
  ) => LedgerResult;
};

// The separator cannot stand in an organisation's name.
const formatKey = (organisation: string, name: string): string => `${organisation}\n${name}`;

const handleClaim: Handlers['claim'] = (tables, command) => {
  const key = formatKey(command.organisation, command.key);
  const known = tables.claims.get(key);
  if (!known) {
    tables.claims.set(key, { bodyHash: command.bodyHash, requestId: command.requestId });
    const { requestId, organisation, at } = command;
    tables.requests.set(requestId, { requestId, organisation, state: 'running', at });
    return { type: 'claimed', requestId };
  }
  if (known.requestId === command.requestId) return { type: 'claimed', requestId: known.requestId };
  if (known.bodyHash !== command.bodyHash) return { type: 'keyConflict' };
  return { type: 'known', record: tables.requests.get(known.requestId)! };
};

const handleSettle: Handlers['settle'] = (tables, command) => {
  const { requestId, organisation, at } = command;
  const known = tables.requests.get(requestId);
  const isSettled = known !== undefined && known.state !== 'running' && known.state !== 'queued';
  if (isSettled && tables.bills.has(requestId)) return { type: 'recorded', first: false };
  const state = command.outcome === 'ran' ? 'done' : command.outcome;
  tables.requests.set(requestId, {
    ...known,
    requestId,
    organisation,
    state,
    answer: command.answer,
    at,
  });
  const cost = command.usage.reduce((sum, usage) => sum + usage.cost, 0);
  if (command.outcome !== 'not_run') {
    tables.bills.set(requestId, { requestId, organisation, usage: command.usage, cost, at });
  }
  return { type: 'recorded', first: true };
};

const handlers: Handlers = {
  bindSession: (tables, command) => {
    const key = formatKey(command.organisation, command.session);
    const known = tables.bindings.get(key);
    if (known) return { type: 'bound', ...known };
    const binding = { model: command.model, version: command.version };
    tables.bindings.set(key, binding);
    return { type: 'bound', ...binding };
  },
  claim: handleClaim,
  intent: (tables, command) => {
    const { requestId, organisation, at } = command;
    const known = tables.requests.get(requestId);
    if (known) return { type: 'recorded', first: false };
    tables.requests.set(requestId, { requestId, organisation, state: 'running', at });
    return { type: 'recorded', first: true };
  },
  settle: handleSettle,
  defer: (tables, command) => {
    const { requestId, organisation, session, idempotent, request, at } = command;
    if (tables.requests.has(requestId)) return { type: 'recorded', first: false };
    tables.requests.set(requestId, {
      requestId,
      organisation,
      state: 'queued',
      session,
      idempotent,
      request,
      at,
    });
    return { type: 'recorded', first: true };
  },
};

const createTables = (): Tables => ({
  bindings: new Map(),
  claims: new Map(),
  requests: new Map(),
  bills: new Map(),
});

/** Creates an empty `ledger` state machine. */
export const createLedgerState = (): LedgerState => {
  let tables = createTables();
  return {
    apply: (_index, command) => {
      const handle = handlers[command.type] as (t: Tables, c: LedgerCommand) => LedgerResult;
      return handle(tables, command);
    },
    snapshot: () => ({
      bindings: [...tables.bindings],
      claims: [...tables.claims],
      requests: [...tables.requests],
      bills: [...tables.bills],
    }),
    restore: (state) => {
      const saved = state as Record<keyof Tables, never>;
      tables = {
        bindings: new Map(saved.bindings),
        claims: new Map(saved.claims),
        requests: new Map(saved.requests),
        bills: new Map(saved.bills),
      };
    },
    findRequest: (organisation, requestId) => {
      const known = tables.requests.get(requestId);
      return known?.organisation === organisation ? known : undefined;
    },
    findBinding: (organisation, session) => tables.bindings.get(formatKey(organisation, session)),
    listBills: () => [...tables.bills.values()],
  };
};
