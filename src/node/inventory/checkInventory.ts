import { formatSuggestion } from './closestName';

/** A fault of an inventory that its schema cannot detect, with its path. */
export interface InventoryFault {
  readonly path: readonly (string | number)[];
  readonly message: string;
}

type UnknownRecord = Readonly<Record<string, unknown>>;
type Path = InventoryFault['path'];

interface Item {
  readonly path: Path;
  readonly value: UnknownRecord;
}

interface Reference {
  readonly path: Path;
  /** Kind of the referenced item, for the message. */
  readonly kind: string;
  readonly name: unknown;
  readonly known: ReadonlySet<string>;
}

// The inventory may not match its schema. Values of the wrong type are skipped here.
const isRecord = (value: unknown): value is UnknownRecord =>
  typeof value === 'object' && value !== null;

const listItems = (owner: unknown, key: string, path: Path = []): readonly Item[] => {
  const list = isRecord(owner) ? owner[key] : undefined;
  if (!Array.isArray(list)) return [];
  return list.flatMap((value: unknown, index) =>
    isRecord(value) ? [{ path: [...path, key, index], value }] : [],
  );
};

const listNames = (items: readonly Item[]): ReadonlySet<string> =>
  new Set(items.map(({ value }) => value.name).filter((name) => typeof name === 'string'));

const listVersions = (models: readonly Item[], model: unknown): ReadonlySet<string> => {
  const found = models.find(({ value }) => value.name === model);
  return listNames(found ? listItems(found.value, 'versions') : []);
};

const listStrings = (item: Item, key: string): readonly (readonly [Path, string])[] => {
  const list = item.value[key];
  if (!Array.isArray(list)) return [];
  return list.flatMap((text: unknown, index) =>
    typeof text === 'string' ? [[[...item.path, key, index], text] as const] : [],
  );
};

const listHostReferences = (inventory: unknown): readonly Reference[] => {
  const known = listNames(listItems(inventory, 'zones'));
  return listItems(inventory, 'hosts').map(({ path, value }) => ({
    path: [...path, 'zone'],
    kind: 'zone',
    name: value.zone,
    known,
  }));
};

const listModelReferences = (inventory: unknown): readonly Reference[] =>
  listItems(inventory, 'models').map((model) => ({
    path: [...model.path, 'stableVersion'],
    kind: 'version',
    name: model.value.stableVersion,
    known: listNames(listItems(model.value, 'versions')),
  }));

const listEndpointReferences = (inventory: unknown): readonly Reference[] => {
  const hosts = listNames(listItems(inventory, 'hosts'));
  const services = listNames(listItems(inventory, 'services'));
  const models = listItems(inventory, 'models');
  const modelNames = listNames(models);
  return listItems(inventory, 'endpoints').flatMap((endpoint) => {
    const { path, value } = endpoint;
    const loads = listItems(value, 'load', path).flatMap((load) => {
      const { model, version } = load.value;
      const versions = listVersions(models, model);
      return [
        { path: [...load.path, 'model'], kind: 'model', name: model, known: modelNames },
        { path: [...load.path, 'version'], kind: 'version', name: version, known: versions },
      ];
    });
    return [
      { path: [...path, 'host'], kind: 'host', name: value.host, known: hosts },
      { path: [...path, 'service'], kind: 'service', name: value.service, known: services },
      ...loads,
    ];
  });
};

const listOrganisationReferences = (inventory: unknown): readonly Reference[] => {
  const services = listNames(listItems(inventory, 'services'));
  const models = listItems(inventory, 'models');
  const modelNames = listNames(models);
  return listItems(inventory, 'organisations').flatMap((organisation) => {
    const allowed = listItems(organisation.value, 'models', organisation.path).flatMap((item) => {
      const versions = listVersions(models, item.value.name);
      const name = { path: [...item.path, 'name'], kind: 'model', name: item.value.name };
      const named = listStrings(item, 'versions').map(([path, version]) => ({
        path,
        kind: 'version',
        name: version,
        known: versions,
      }));
      return [{ ...name, known: modelNames }, ...named];
    });
    const served = listStrings(organisation, 'services').map(([path, name]) => ({
      path,
      kind: 'service',
      name,
      known: services,
    }));
    return [...allowed, ...served];
  });
};

const checkReference = (reference: Reference): readonly InventoryFault[] => {
  const { path, kind, name, known } = reference;
  if (typeof name !== 'string' || known.has(name)) return [];
  return [{ path, message: `unknown ${kind} '${name}'${formatSuggestion(name, known)}` }];
};

const checkDuplicates = (items: readonly Item[], kind: string): readonly InventoryFault[] => {
  const seen = new Set<unknown>();
  return items.flatMap(({ path, value }) => {
    const isSeen = value.name !== undefined && seen.has(value.name);
    seen.add(value.name);
    if (!isSeen) return [];
    return [
      {
        path: [...path, 'name'],
        message: `${kind} '${String(value.name)}' is defined more than once`,
      },
    ];
  });
};

const NAMED_LISTS: Readonly<Record<string, string>> = {
  zones: 'zone',
  hosts: 'host',
  models: 'model',
  services: 'service',
  endpoints: 'endpoint',
  organisations: 'organisation',
};

const checkAllDuplicates = (inventory: unknown): readonly InventoryFault[] => {
  const rules = isRecord(inventory) ? inventory.rules : undefined;
  return [
    ...Object.entries(NAMED_LISTS).flatMap(([key, kind]) =>
      checkDuplicates(listItems(inventory, key), kind),
    ),
    ...listItems(inventory, 'models').flatMap(({ path, value }) =>
      checkDuplicates(listItems(value, 'versions', path), 'version'),
    ),
    ...checkDuplicates(listItems(rules, 'tasks', ['rules']), 'task'),
  ];
};

const checkDuplicateKeyHashes = (inventory: unknown): readonly InventoryFault[] => {
  const owners = new Map<string, unknown>();
  return listItems(inventory, 'organisations').flatMap((organisation) =>
    listStrings(organisation, 'keyHashes').flatMap(([path, hash]) => {
      const owner = owners.get(hash);
      owners.set(hash, organisation.value.name);
      if (owner === undefined) return [];
      return [{ path, message: `key hash is already used by organisation '${String(owner)}'` }];
    }),
  );
};

const checkRolloutSteps = (inventory: unknown): readonly InventoryFault[] => {
  const rules = isRecord(inventory) ? inventory.rules : undefined;
  const rollout = isRecord(rules) ? rules.rollout : undefined;
  const steps = isRecord(rollout) && Array.isArray(rollout.steps) ? rollout.steps : [];
  return steps.flatMap((step: unknown, index) => {
    const before: unknown = steps[index - 1];
    if (typeof step !== 'number' || typeof before !== 'number' || step > before) return [];
    const path = ['rules', 'rollout', 'steps', index];
    return [{ path, message: `step ${step} is not greater than the step before it, ${before}` }];
  });
};

/**
 * Finds faults that a schema cannot detect: references to unknown names, duplicate names, keys
 * shared by organisations and roll-out steps that do not increase. Accepts any value and returns
 * all faults.
 */
export const checkInventory = (inventory: unknown): readonly InventoryFault[] => [
  ...checkAllDuplicates(inventory),
  ...checkDuplicateKeyHashes(inventory),
  ...checkRolloutSteps(inventory),
  ...[
    ...listHostReferences(inventory),
    ...listModelReferences(inventory),
    ...listEndpointReferences(inventory),
    ...listOrganisationReferences(inventory),
  ].flatMap(checkReference),
];
