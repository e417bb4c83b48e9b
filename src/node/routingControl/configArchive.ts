import { createHash } from 'node:crypto';
import type { Route, RoutedOrganisation, RoutedService, RoutingConfig } from '../routing';

/** Identifies the content of a configuration. */
export interface ConfigId {
  readonly version: number;
  /** Hash of the content; equal on all control hosts. */
  readonly digest: string;
}

/** A configuration of which equal items are the same objects in each version of the archive. */
export interface ArchivedConfig {
  readonly id: ConfigId;
  readonly config: RoutingConfig;
}

/** The latest configuration and some earlier ones. */
export interface ConfigArchive {
  readonly findLatest: () => ArchivedConfig | undefined;
  readonly find: (digest: string) => ArchivedConfig | undefined;
  /** Adds a configuration, unless it is the latest one. */
  readonly add: (config: RoutingConfig) => void;
}

interface ArchiveEntry extends ArchivedConfig {
  /** Items that the version before does not share. */
  readonly changedItems: number;
}

const MAX_VERSIONS = 32;
/** Items that the changes between the retained versions may add, if the latest one has fewer. */
const MIN_CHANGED_ITEMS = 1_000;
const DIGEST_CHARACTERS = 22;

type Texts<T> = ReadonlyMap<string, T>;

interface SharedList<T> {
  readonly items: readonly T[];
  readonly texts: Texts<T>;
  /** Number of items that the list before does not have. */
  readonly changedItems: number;
  readonly digest: string;
}

const computeHash = (texts: readonly string[]): string => {
  const hash = createHash('sha256');
  texts.forEach((text) => hash.update(text).update('\n'));
  return hash.digest('base64url').slice(0, DIGEST_CHARACTERS);
};

const createSharedList = <T>(known: Texts<T>, items: readonly T[]): SharedList<T> => {
  const itemTexts = items.map((item) => JSON.stringify(item));
  const texts = new Map<string, T>();
  itemTexts.forEach((text, index) => {
    if (!texts.has(text)) texts.set(text, known.get(text) ?? items[index]!);
  });
  return {
    items: itemTexts.map((text) => texts.get(text)!),
    texts,
    changedItems: [...texts.keys()].filter((text) => !known.has(text)).length,
    digest: computeHash(itemTexts),
  };
};

const countItems = ({ routes, services, organisations }: RoutingConfig): number =>
  routes.length + services.length + organisations.length;

// Bounds the memory of the archive by the sizes of the latest and the oldest retained configuration,
// however much the changes between them add.
const listRetained = (entries: readonly ArchiveEntry[]): readonly ArchiveEntry[] => {
  const limit = Math.max(MIN_CHANGED_ITEMS, countItems(entries.at(-1)!.config));
  let first = entries.length - 1;
  let changedItems = 0;
  while (first > 0 && entries.length - first < MAX_VERSIONS) {
    changedItems += entries[first]!.changedItems;
    if (changedItems > limit) break;
    first -= 1;
  }
  return entries.slice(first);
};

interface Lists {
  readonly routes: SharedList<Route>;
  readonly services: SharedList<RoutedService>;
  readonly organisations: SharedList<RoutedOrganisation>;
}

const EMPTY_LIST = { items: [], texts: new Map(), changedItems: 0, digest: '' } as const;

const EMPTY_LISTS: Lists = { routes: EMPTY_LIST, services: EMPTY_LIST, organisations: EMPTY_LIST };

/** Creates an empty archive. */
export const createConfigArchive = (): ConfigArchive => {
  let entries: readonly ArchiveEntry[] = [];
  let latestSource: RoutingConfig | undefined;
  let known = EMPTY_LISTS;

  return {
    findLatest: () => entries.at(-1),
    find: (digest) => entries.find(({ id }) => id.digest === digest),
    add: (source) => {
      if (source === latestSource) return;
      const { version, limits } = source;
      const lists: Lists = {
        routes: createSharedList(known.routes.texts, source.routes),
        services: createSharedList(known.services.texts, source.services),
        organisations: createSharedList(known.organisations.texts, source.organisations),
      };
      latestSource = source;
      known = lists;
      const { routes, services, organisations } = lists;
      const parts = [routes, services, organisations];
      const head = JSON.stringify([version, limits]);
      const digest = computeHash([head, ...parts.map((part) => part.digest)]);
      if (digest === entries.at(-1)?.id.digest) return;
      const entry: ArchiveEntry = {
        id: { version, digest },
        config: {
          version,
          limits,
          routes: routes.items,
          services: services.items,
          organisations: organisations.items,
        },
        changedItems: parts.reduce((sum, part) => sum + part.changedItems, 0),
      };
      entries = listRetained([...entries, entry]);
    },
  };
};
