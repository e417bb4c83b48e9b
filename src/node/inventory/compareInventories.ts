import type { Inventory } from './schema';

/** One difference between two inventories. */
export interface InventoryChange {
  readonly kind: string;
  readonly name: string;
  readonly change: 'added' | 'removed' | 'changed';
  /** Effect on traffic in a short phrase. Empty if the effect is not certain. */
  readonly effect: string;
}

interface Named {
  readonly name: string;
}

type ListKey = 'zones' | 'hosts' | 'models' | 'services' | 'endpoints' | 'organisations';

const KINDS: Readonly<Record<ListKey, string>> = {
  zones: 'zone',
  hosts: 'host',
  models: 'model',
  services: 'service',
  endpoints: 'endpoint',
  organisations: 'organisation',
};

const REMOVAL_EFFECTS: Readonly<Record<string, string>> = {
  model: 'no new work on any of its versions; its sessions are refused',
  version: 'no new work; sessions bound to it are refused',
  service: 'its calls are refused',
  organisation: 'its keys are refused',
};

const listDifferences = (
  kind: string,
  before: readonly Named[],
  after: readonly Named[],
): readonly InventoryChange[] => {
  const old = new Map(before.map((item) => [item.name, item]));
  const current = new Map(after.map((item) => [item.name, item]));
  const removed = before
    .filter(({ name }) => !current.has(name))
    .map(({ name }) => ({
      kind,
      name,
      change: 'removed' as const,
      effect: REMOVAL_EFFECTS[kind] ?? '',
    }));
  const others = after
    .filter((item) => JSON.stringify(old.get(item.name)) !== JSON.stringify(item))
    .map(({ name }) => {
      const change: InventoryChange['change'] = old.has(name) ? 'changed' : 'added';
      return { kind, name, change, effect: '' };
    });
  return [...removed, ...others];
};

interface VersionRecord extends Named {
  readonly state: string;
}

const listVersions = (inventory: Inventory): readonly VersionRecord[] =>
  inventory.models.flatMap((model) =>
    model.versions.map(({ name, state }) => ({ name: `${model.name}@${name}`, state })),
  );

const VERSION_EFFECTS: Readonly<Record<string, string>> = {
  active: 'accepts new work',
  draining: 'no new sessions; bound sessions continue',
  withdrawn: 'no new work; sessions bound to it are refused',
};

const listVersionChanges = (before: Inventory, after: Inventory): readonly InventoryChange[] => {
  const versions = listVersions(after);
  return listDifferences('version', listVersions(before), versions).map((change) => {
    if (change.change === 'removed') return change;
    const state = versions.find(({ name }) => name === change.name)?.state ?? '';
    return { ...change, effect: VERSION_EFFECTS[state] ?? '' };
  });
};

const listAllowed = (inventory: Inventory, organisation: string): ReadonlySet<string> => {
  const found = inventory.organisations.find(({ name }) => name === organisation);
  const models = (found?.models ?? []).flatMap(({ name, versions }) =>
    versions === undefined ? [`model ${name}`] : versions.map((item) => `model ${name}@${item}`),
  );
  return new Set([...models, ...(found?.services ?? []).map((name) => `service ${name}`)]);
};

const formatOrganisationEffect = (before: Inventory, after: Inventory, name: string): string => {
  const old = listAllowed(before, name);
  const current = listAllowed(after, name);
  const lost = [...old].filter((item) => !current.has(item)).map((item) => `loses ${item}`);
  const gained = [...current].filter((item) => !old.has(item)).map((item) => `may use ${item}`);
  return [...lost, ...gained].join(', ');
};

const listOrganisationChanges = (before: Inventory, after: Inventory): readonly InventoryChange[] =>
  listDifferences('organisation', before.organisations, after.organisations).map((change) =>
    change.change === 'removed'
      ? change
      : { ...change, effect: formatOrganisationEffect(before, after, change.name) },
  );

const listStableChanges = (before: Inventory, after: Inventory): readonly InventoryChange[] =>
  after.models.flatMap((model) => {
    const old = before.models.find(({ name }) => name === model.name);
    if (!old || old.stableVersion === model.stableVersion) return [];
    const effect = `new sessions go to ${model.stableVersion}, not ${old.stableVersion}`;
    return [{ kind: 'model', name: model.name, change: 'changed' as const, effect }];
  });

const listRuleChanges = (before: Inventory, after: Inventory): readonly InventoryChange[] =>
  Object.entries(after.rules)
    .filter(([key, value]) => {
      const old = (before.rules as Readonly<Record<string, unknown>>)[key];
      return JSON.stringify(old) !== JSON.stringify(value);
    })
    .map(([name]) => ({ kind: 'rule', name, change: 'changed' as const, effect: '' }));

/** Lists the differences between two inventories and their effects on traffic. */
export const compareInventories = (
  before: Inventory,
  after: Inventory,
): readonly InventoryChange[] => {
  const simpleChanges = (['zones', 'hosts', 'services', 'endpoints'] as const).flatMap((key) =>
    listDifferences(KINDS[key], before[key], after[key]),
  );
  const stableChanges = listStableChanges(before, after);
  const changedModels = new Set(stableChanges.map(({ name }) => name));
  const models = listDifferences('model', before.models, after.models).filter(
    ({ name }) => !changedModels.has(name),
  );
  return [
    ...simpleChanges,
    ...stableChanges,
    ...models,
    ...listVersionChanges(before, after),
    ...listOrganisationChanges(before, after),
    ...listRuleChanges(before, after),
  ];
};
