import { createHash } from 'node:crypto';
import type { Inventory } from '../inventory';
import type { StateMachine } from '../replication';
import {
  formatVersionName,
  RULES_NAME,
  type Member,
  type Rollout,
  type ViewEntry,
  type ViewKind,
  type ViewUpdate,
  type Withdrawal,
} from '../view';
import { createChangeLog, type ChangeLog } from './changeLog';
import type { ConfigCommand, ConfigResult, NodeRecord } from './configCommands';
import { applyRolloutAction } from './rolloutActions';
import { listEntriesInScope, type ViewScope } from './viewScope';

export * from './configCommands';

/** State machine of the `config` group, with read access to its state. */
export interface ConfigState extends StateMachine<ConfigCommand, ConfigResult> {
  readonly revision: () => number;
  /** Calls a listener after every change of the view. */
  readonly watch: (listener: () => void) => void;
  /** Returns whether the result of a change with this id is kept. */
  readonly hasAnswer: (changeId: string) => boolean;
  readonly inventoryRevision: () => number;
  readonly inventory: () => Inventory | undefined;
  readonly readUpdate: (since: number, scope: ViewScope) => ViewUpdate;
  readonly findNode: (node: string) => NodeRecord | undefined;
  readonly listNodes: () => readonly NodeRecord[];
}

interface RecordedAnswer {
  readonly hash: string;
  readonly revision: number;
  readonly result: ConfigResult;
}

interface ConfigSnapshot {
  readonly revision: number;
  readonly inventoryRevision: number;
  readonly inventory?: Inventory;
  readonly lastChange: string;
  readonly entries: readonly ViewEntry[];
  readonly oldestBase: number;
  readonly answers: readonly (readonly [string, RecordedAnswer])[];
  readonly nodes: readonly NodeRecord[];
  readonly nextIncarnation: number;
}

interface Tables {
  /** Log index of the command that is being applied. */
  index: number;
  revision: number;
  inventoryRevision: number;
  inventory: Inventory | undefined;
  lastChange: string;
  nextIncarnation: number;
  readonly entries: Map<string, ViewEntry>;
  /** Results of operators' changes up to this revision have been evicted. */
  oldestBase: number;
  readonly answers: Map<string, RecordedAnswer>;
  changes: ChangeLog;
  readonly nodes: Map<string, NodeRecord>;
}

const MAX_RECORDED_ANSWERS = 20_000;

const formatKey = (kind: ViewKind, name: string): string => `${kind}/${name}`;

const writeEntry = (tables: Tables, kind: ViewKind, name: string, value: unknown): void => {
  const key = formatKey(kind, name);
  const known = tables.entries.get(key);
  if (JSON.stringify(known?.value) === JSON.stringify(value)) return;
  tables.revision = tables.index;
  const entry = { kind, name, revision: tables.revision, value } as ViewEntry;
  if (value === undefined) tables.entries.delete(key);
  else tables.entries.set(key, entry);
  tables.changes.append(entry);
};

const listInventoryEntries = (
  inventory: Inventory,
): readonly (readonly [ViewKind, string, unknown])[] => [
  ...inventory.zones.map((item) => ['zone', item.name, item] as const),
  ...inventory.hosts.map((item) => ['host', item.name, item] as const),
  ...inventory.models.map((item) => ['model', item.name, item] as const),
  ...inventory.services.map((item) => ['service', item.name, item] as const),
  ...inventory.endpoints.map((item) => ['endpoint', item.name, item] as const),
  ...inventory.organisations.map((item) => ['organisation', item.name, item] as const),
  ['rules', RULES_NAME, inventory.rules] as const,
];

const INVENTORY_KINDS: ReadonlySet<ViewKind> = new Set([
  'zone',
  'host',
  'model',
  'service',
  'endpoint',
  'organisation',
  'rules',
]);

const writeInventory = (tables: Tables, inventory: Inventory): void => {
  const next = listInventoryEntries(inventory);
  const keptKeys = new Set(next.map(([kind, name]) => formatKey(kind, name)));
  for (const entry of [...tables.entries.values()]) {
    const key = formatKey(entry.kind, entry.name);
    const isRemoved = INVENTORY_KINDS.has(entry.kind) && !keptKeys.has(key);
    if (isRemoved) writeEntry(tables, entry.kind, entry.name, undefined);
  }
  next.forEach(([kind, name, value]) => writeEntry(tables, kind, name, value));
};

type OperatorCommand = Extract<ConfigCommand, { readonly changeId: string }>;

// Excludes `base`: a resent change is the same change even if it has a newer base.
const computeHash = (command: OperatorCommand): string =>
  createHash('sha256')
    .update(JSON.stringify({ ...command, base: 0 }))
    .digest('hex');

const removeOldestAnswer = (tables: Tables): void => {
  const [oldest, kept] = tables.answers.entries().next().value!;
  tables.answers.delete(oldest);
  tables.oldestBase = kept.revision;
};

const recordAnswer = (
  tables: Tables,
  command: OperatorCommand,
  result: ConfigResult,
): ConfigResult => {
  const hash = computeHash(command);
  tables.answers.set(command.changeId, { hash, revision: tables.revision, result });
  if (tables.answers.size > MAX_RECORDED_ANSWERS) removeOldestAnswer(tables);
  return result;
};

type Handlers = {
  readonly [T in ConfigCommand['type']]: (
    tables: Tables,
    command: Extract<ConfigCommand, { readonly type: T }>,
  ) => ConfigResult;
};

const createAccepted = (tables: Tables): ConfigResult => ({
  type: 'accepted',
  revision: tables.revision,
  inventoryRevision: tables.inventoryRevision,
});

const removeMembers = (tables: Tables, node: string): void => {
  for (const entry of [...tables.entries.values()]) {
    const isOwn = entry.kind === 'member' && (entry.value as Member | undefined)?.node === node;
    if (isOwn) writeEntry(tables, 'member', entry.name, undefined);
  }
};

const findRollout = (tables: Tables, model: string): Rollout | undefined =>
  tables.entries.get(formatKey('rollout', model))?.value as Rollout | undefined;

const isInProgress = (rollout: Rollout): boolean =>
  rollout.state === 'running' || rollout.state === 'paused';

// Also aborts a finished roll-out, so that new sessions get the previous version again.
const stopRollout = (tables: Tables, { model, version, reason }: Withdrawal): void => {
  const rollout = findRollout(tables, model);
  if (rollout?.to !== version || rollout.state === 'aborted') return;
  writeEntry(tables, 'rollout', model, { ...rollout, state: 'aborted', reason });
};

const handlers: Handlers = {
  putInventory: (tables, command) => {
    if (command.base !== tables.inventoryRevision) {
      const { lastChange: winner, inventoryRevision } = tables;
      return { type: 'conflict', winner, inventoryRevision };
    }
    tables.inventoryRevision += 1;
    tables.inventory = command.inventory;
    tables.lastChange = command.changeId;
    writeInventory(tables, command.inventory);
    return createAccepted(tables);
  },
  withdraw: (tables, command) => {
    const { model, version } = command.withdrawal;
    writeEntry(tables, 'withdrawal', formatVersionName(model, version), command.withdrawal);
    stopRollout(tables, command.withdrawal);
    return createAccepted(tables);
  },
  restore: (tables, command) => {
    const name = formatVersionName(command.model, command.version);
    writeEntry(tables, 'withdrawal', name, undefined);
    return createAccepted(tables);
  },
  setRollout: (tables, command) => {
    const { rollout, changeId: id } = command;
    const known = findRollout(tables, rollout.model);
    const isSame = known?.to === rollout.to && isInProgress(known);
    const next = { ...rollout, id: isSame ? known.id : id };
    writeEntry(tables, 'rollout', rollout.model, next);
    return createAccepted(tables);
  },
  changeRollout: (tables, { changeId: id, change }) => {
    const current = findRollout(tables, change.model);
    const isWithdrawn = (model: string, version: string): boolean =>
      tables.entries.has(formatKey('withdrawal', formatVersionName(model, version)));
    const context = { id, inventory: tables.inventory, current, isWithdrawn };
    const next = applyRolloutAction(context, change);
    return next.caseOf<ConfigResult>({
      Left: (reason) => ({ type: 'refused', reason }),
      Right: (rollout) => {
        writeEntry(tables, 'rollout', rollout.model, rollout);
        return createAccepted(tables);
      },
    });
  },
  advanceRollout: (tables, { from, to }) => {
    const known = findRollout(tables, from.model);
    const isCurrent =
      known?.id === from.id && known?.step === from.step && known?.state === from.state;
    if (isCurrent) writeEntry(tables, 'rollout', to.model, to);
    return { type: 'done', revision: tables.revision };
  },
  register: (tables, command) => {
    const { node, role, zone, host, address, bootId } = command;
    const known = tables.nodes.get(node);
    const mayOverlap = known !== undefined && known.address !== address;
    if (known?.bootId === bootId) {
      return { type: 'registered', incarnation: known.incarnation, mayOverlap: known.mayOverlap };
    }
    tables.nextIncarnation += 1;
    const incarnation = tables.nextIncarnation;
    tables.nodes.set(node, { node, role, zone, host, address, bootId, incarnation, mayOverlap });
    removeMembers(tables, node);
    return { type: 'registered', incarnation, mayOverlap };
  },
  announce: (tables, command) => {
    const record = tables.nodes.get(command.node);
    if (record?.incarnation !== command.incarnation) {
      return { type: 'stale', incarnation: record?.incarnation ?? 0 };
    }
    const { announcement } = command;
    const holder = tables.entries.get(formatKey('member', announcement.endpoint));
    const other = holder?.value as Member | undefined;
    // An endpoint that has moved belongs to the node that registered last.
    if (other !== undefined && other.incarnation > record.incarnation) {
      return { type: 'stale', incarnation: other.incarnation };
    }
    const member: Member = {
      ...announcement,
      node: record.node,
      address: record.address,
      zone: record.zone,
      incarnation: record.incarnation,
    };
    writeEntry(tables, 'member', announcement.endpoint, member);
    return { type: 'done', revision: tables.revision };
  },
  leave: (tables, command) => {
    const record = tables.nodes.get(command.node);
    if (record?.incarnation !== command.incarnation) {
      return { type: 'stale', incarnation: record?.incarnation ?? 0 };
    }
    removeMembers(tables, command.node);
    tables.nodes.delete(command.node);
    return { type: 'done', revision: tables.revision };
  },
};

const createTables = (): Tables => ({
  revision: 0,
  inventoryRevision: 0,
  inventory: undefined,
  lastChange: '',
  nextIncarnation: 0,
  index: 0,
  oldestBase: -1,
  changes: createChangeLog(0),
  entries: new Map(),
  answers: new Map(),
  nodes: new Map(),
});

const convertSnapshot = (state: ConfigSnapshot): Tables => ({
  ...state,
  inventory: state.inventory,
  index: state.revision,
  changes: createChangeLog(state.revision),
  entries: new Map(state.entries.map((entry) => [formatKey(entry.kind, entry.name), entry])),
  answers: new Map(state.answers),
  nodes: new Map(state.nodes.map((record) => [record.node, record])),
});

const isOperatorCommand = (command: ConfigCommand): command is OperatorCommand =>
  'changeId' in command;

// A change based on a revision whose results were evicted may already have been applied.
const checkOperatorCommand = (
  tables: Tables,
  command: OperatorCommand,
): ConfigResult | undefined => {
  const kept = tables.answers.get(command.changeId);
  if (kept?.hash === computeHash(command)) return kept.result;
  if (kept) return { type: 'reused', changeId: command.changeId };
  const isExpired = command.type !== 'putInventory' && command.base <= tables.oldestBase;
  return isExpired ? { type: 'expired', oldestBase: tables.oldestBase } : undefined;
};

/**
 * Creates an empty `config` state machine. The revision of the view is the log index of its last
 * change.
 */
export const createConfigState = (): ConfigState => {
  let tables = createTables();
  const listeners: (() => void)[] = [];

  const runCommand = (command: ConfigCommand): ConfigResult => {
    const handle = handlers[command.type] as (t: Tables, c: ConfigCommand) => ConfigResult;
    return handle(tables, command);
  };

  const runOnce = (command: ConfigCommand): ConfigResult => {
    if (!isOperatorCommand(command)) return runCommand(command);
    const earlierAnswer = checkOperatorCommand(tables, command);
    return earlierAnswer ?? recordAnswer(tables, command, runCommand(command));
  };

  const apply = (index: number, command: ConfigCommand): ConfigResult => {
    const before = tables.revision;
    tables.index = index;
    const result = runOnce(command);
    if (tables.revision !== before) listeners.forEach((listener) => listener());
    return result;
  };

  const readUpdate = (since: number, scope: ViewScope): ViewUpdate => {
    const { revision } = tables;
    const changes = since > 0 && since <= revision ? tables.changes.readSince(since) : undefined;
    const type = changes ? 'delta' : 'snapshot';
    const entries = changes ?? [...tables.entries.values()];
    return { type, revision, entries: listEntriesInScope(entries, scope) };
  };

  const snapshot = (): ConfigSnapshot => ({
    revision: tables.revision,
    inventoryRevision: tables.inventoryRevision,
    inventory: tables.inventory,
    lastChange: tables.lastChange,
    oldestBase: tables.oldestBase,
    nextIncarnation: tables.nextIncarnation,
    entries: [...tables.entries.values()],
    answers: [...tables.answers],
    nodes: [...tables.nodes.values()],
  });

  return {
    apply,
    snapshot,
    restore: (state) => {
      tables = convertSnapshot(state as ConfigSnapshot);
      listeners.forEach((listener) => listener());
    },
    revision: () => tables.revision,
    watch: (listener) => {
      listeners.push(listener);
    },
    hasAnswer: (id) => tables.answers.has(id),
    inventoryRevision: () => tables.inventoryRevision,
    inventory: () => tables.inventory,
    readUpdate,
    findNode: (node) => tables.nodes.get(node),
    listNodes: () => [...tables.nodes.values()],
  };
};
