import { z } from 'zod';
import { inventorySchema, servedVersion, type Inventory } from '../inventory';
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

const changeId = z.string().min(1).max(128);

/** What an agent says of its endpoint. */
export const announcementSchema = z
  .strictObject({
    endpoint: z.string(),
    host: z.string(),
    serves: z.array(servedVersion).readonly(),
    service: z.string().optional(),
    slots: z.number().int().positive(),
    checksFencing: z.boolean(),
    state: z.enum(['live', 'leaving']),
  })
  .readonly();

/** What an agent says of its endpoint. */
export type Announcement = z.infer<typeof announcementSchema>;

/** The commands of the `config` group. */
export type ConfigCommand =
  | {
      readonly type: 'putInventory';
      readonly base: number;
      readonly changeId: string;
      readonly inventory: Inventory;
    }
  | { readonly type: 'withdraw'; readonly changeId: string; readonly withdrawal: Withdrawal }
  | {
      readonly type: 'restore';
      readonly changeId: string;
      readonly model: string;
      readonly version: string;
    }
  | { readonly type: 'setRollout'; readonly changeId: string; readonly rollout: Rollout }
  | {
      readonly type: 'register';
      readonly node: string;
      readonly role: string;
      readonly zone: string;
      readonly address: string;
      readonly bootId: string;
    }
  | {
      readonly type: 'announce';
      readonly node: string;
      readonly incarnation: number;
      readonly announcement: Announcement;
    }
  | { readonly type: 'leave'; readonly node: string; readonly incarnation: number };

/** The answers of the `config` group. */
export type ConfigResult =
  | { readonly type: 'accepted'; readonly revision: number; readonly inventoryRevision: number }
  | { readonly type: 'conflict'; readonly winner: string; readonly inventoryRevision: number }
  | { readonly type: 'registered'; readonly incarnation: number }
  | { readonly type: 'stale'; readonly incarnation: number }
  | { readonly type: 'done'; readonly revision: number };

/** A registered process. */
export interface NodeRecord {
  readonly node: string;
  readonly role: string;
  readonly zone: string;
  readonly address: string;
  readonly bootId: string;
  readonly incarnation: number;
}

/** The `config` state machine with its reads. */
export interface ConfigState extends StateMachine<ConfigCommand, ConfigResult> {
  readonly revision: () => number;
  readonly inventoryRevision: () => number;
  readonly inventory: () => Inventory | undefined;
  readonly readUpdate: (since: number) => ViewUpdate;
  readonly findNode: (node: string) => NodeRecord | undefined;
  readonly listNodes: () => readonly NodeRecord[];
}

/** The body of `PUT /admin/inventory`. */
export const putInventorySchema = z
  .strictObject({ base: z.number().int().min(0), changeId, inventory: inventorySchema })
  .readonly();

interface ConfigSnapshot {
  readonly revision: number;
  readonly inventoryRevision: number;
  readonly inventory?: Inventory;
  readonly lastChange: string;
  readonly entries: readonly ViewEntry[];
  readonly answers: readonly (readonly [string, ConfigResult])[];
  readonly nodes: readonly NodeRecord[];
  readonly nextIncarnation: number;
}

interface Tables {
  revision: number;
  inventoryRevision: number;
  inventory: Inventory | undefined;
  lastChange: string;
  nextIncarnation: number;
  readonly entries: Map<string, ViewEntry>;
  readonly answers: Map<string, ConfigResult>;
  readonly nodes: Map<string, NodeRecord>;
}

const ANSWERS_KEPT = 10_000;

const formatKey = (kind: ViewKind, name: string): string => `${kind}/${name}`;

const writeEntry = (tables: Tables, kind: ViewKind, name: string, value: unknown): void => {
  const key = formatKey(kind, name);
  const known = tables.entries.get(key);
  if (JSON.stringify(known?.value) === JSON.stringify(value)) return;
  tables.entries.delete(key);
  tables.entries.set(key, { kind, name, revision: tables.revision, value } as ViewEntry);
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
  const kept = new Set(next.map(([kind, name]) => formatKey(kind, name)));
  for (const entry of [...tables.entries.values()]) {
    const key = formatKey(entry.kind, entry.name);
    const isGone = INVENTORY_KINDS.has(entry.kind) && !kept.has(key);
    if (isGone) writeEntry(tables, entry.kind, entry.name, undefined);
  }
  next.forEach(([kind, name, value]) => writeEntry(tables, kind, name, value));
};

const recordAnswer = (tables: Tables, id: string, answer: ConfigResult): ConfigResult => {
  tables.answers.set(id, answer);
  if (tables.answers.size > ANSWERS_KEPT) {
    tables.answers.delete(tables.answers.keys().next().value!);
  }
  return answer;
};

type Handlers = {
  readonly [T in ConfigCommand['type']]: (
    tables: Tables,
    command: Extract<ConfigCommand, { readonly type: T }>,
  ) => ConfigResult;
};

const formatAccepted = (tables: Tables): ConfigResult => ({
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

const handlers: Handlers = {
  putInventory: (tables, command) => {
    if (command.base !== tables.inventoryRevision) {
      const { lastChange: winner, inventoryRevision } = tables;
      return recordAnswer(tables, command.changeId, {
        type: 'conflict',
        winner,
        inventoryRevision,
      });
    }
    tables.inventoryRevision += 1;
    tables.inventory = command.inventory;
    tables.lastChange = command.changeId;
    writeInventory(tables, command.inventory);
    return recordAnswer(tables, command.changeId, formatAccepted(tables));
  },
  withdraw: (tables, command) => {
    const { model, version } = command.withdrawal;
    writeEntry(tables, 'withdrawal', formatVersionName(model, version), command.withdrawal);
    return recordAnswer(tables, command.changeId, formatAccepted(tables));
  },
  restore: (tables, command) => {
    const name = formatVersionName(command.model, command.version);
    writeEntry(tables, 'withdrawal', name, undefined);
    return recordAnswer(tables, command.changeId, formatAccepted(tables));
  },
  setRollout: (tables, command) => {
    writeEntry(tables, 'rollout', command.rollout.model, command.rollout);
    return recordAnswer(tables, command.changeId, formatAccepted(tables));
  },
  register: (tables, command) => {
    const { node, role, zone, address, bootId } = command;
    const known = tables.nodes.get(node);
    if (known?.bootId === bootId) return { type: 'registered', incarnation: known.incarnation };
    tables.nextIncarnation += 1;
    const incarnation = tables.nextIncarnation;
    tables.nodes.set(node, { node, role, zone, address, bootId, incarnation });
    removeMembers(tables, node);
    return { type: 'registered', incarnation };
  },
  announce: (tables, command) => {
    const record = tables.nodes.get(command.node);
    if (record?.incarnation !== command.incarnation) {
      return { type: 'stale', incarnation: record?.incarnation ?? 0 };
    }
    const { announcement } = command;
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
  entries: new Map(),
  answers: new Map(),
  nodes: new Map(),
});

const convertSnapshot = (state: ConfigSnapshot): Tables => ({
  ...state,
  inventory: state.inventory,
  entries: new Map(state.entries.map((entry) => [formatKey(entry.kind, entry.name), entry])),
  answers: new Map(state.answers),
  nodes: new Map(state.nodes.map((record) => [record.node, record])),
});

const findAnswer = (tables: Tables, command: ConfigCommand): ConfigResult | undefined =>
  'changeId' in command ? tables.answers.get(command.changeId) : undefined;

/** Creates an empty `config` state machine. The log index is the view's revision. */
export const createConfigState = (): ConfigState => {
  let tables = createTables();

  const apply = (index: number, command: ConfigCommand): ConfigResult => {
    const first = findAnswer(tables, command);
    tables.revision = index;
    if (first) return first;
    const handle = handlers[command.type] as (t: Tables, c: ConfigCommand) => ConfigResult;
    return handle(tables, command);
  };

  const readUpdate = (since: number): ViewUpdate => {
    const all = [...tables.entries.values()];
    const { revision } = tables;
    if (since === 0 || since > revision) {
      const entries = all.filter((entry) => entry.value !== undefined);
      return { type: 'snapshot', revision, entries };
    }
    return { type: 'delta', revision, entries: all.filter((entry) => entry.revision > since) };
  };

  const snapshot = (): ConfigSnapshot => ({
    revision: tables.revision,
    inventoryRevision: tables.inventoryRevision,
    inventory: tables.inventory,
    lastChange: tables.lastChange,
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
    },
    revision: () => tables.revision,
    inventoryRevision: () => tables.inventoryRevision,
    inventory: () => tables.inventory,
    readUpdate,
    findNode: (node) => tables.nodes.get(node),
    listNodes: () => [...tables.nodes.values()],
  };
};
