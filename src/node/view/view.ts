import type {
  Endpoint,
  Host,
  Model,
  Organisation,
  PlainService,
  Rules,
  ServedVersion,
  Zone,
} from '../inventory';

/** A live endpoint as announced by its agent. */
export interface Member {
  readonly endpoint: string;
  readonly node: string;
  /** Address of the agent; the endpoint can only be reached through it. */
  readonly address: string;
  readonly incarnation: number;
  readonly host: string;
  readonly zone: string;
  readonly serves: readonly ServedVersion[];
  readonly service?: string;
  readonly slots: number;
  readonly checksFencing: boolean;
  readonly state: 'live' | 'leaving';
}

/** A withdrawal of one version; it stays until an operator restores the version. */
export interface Withdrawal {
  readonly model: string;
  readonly version: string;
  readonly reason: string;
}

/** A roll-out of one version with its current step. */
export interface Rollout {
  /** Id of the change that started the roll-out; it distinguishes two roll-outs of one version. */
  readonly id?: string;
  readonly model: string;
  readonly from: string;
  readonly to: string;
  readonly step: number;
  readonly state: 'running' | 'paused' | 'aborted' | 'done';
  readonly reason: string;
}

/** The value type of each kind of view entry. */
export interface ViewValues {
  readonly zone: Zone;
  readonly host: Host;
  readonly model: Model;
  readonly service: PlainService;
  readonly endpoint: Endpoint;
  readonly organisation: Organisation;
  readonly rules: Rules;
  readonly member: Member;
  readonly withdrawal: Withdrawal;
  readonly rollout: Rollout;
}

/** The kinds of view entry. */
export type ViewKind = keyof ViewValues;

/** One entry of the view; an absent value records a removal. */
export interface ViewEntry<K extends ViewKind = ViewKind> {
  readonly kind: K;
  readonly name: string;
  readonly revision: number;
  readonly value?: ViewValues[K];
}

/** The changes since a revision, or all entries for a node that is too far behind. */
export interface ViewUpdate {
  readonly type: 'delta' | 'snapshot';
  readonly revision: number;
  readonly entries: readonly ViewEntry[];
}

/** Read access to the configuration that is in effect on a node. */
export interface View {
  readonly revision: () => number;
  readonly find: <K extends ViewKind>(kind: K, name: string) => ViewValues[K] | undefined;
  readonly list: <K extends ViewKind>(kind: K) => readonly ViewValues[K][];
}

/** A view that accepts updates; updates with an older revision are ignored. */
export interface ViewStore extends View {
  readonly apply: (update: ViewUpdate) => boolean;
}

/** Name of the only rules entry. */
export const RULES_NAME = 'rules';

/** Formats the entry name of a version of a model. */
export const formatVersionName = (model: string, version: string): string => `${model}@${version}`;

/** Creates an empty view at revision 0. */
export const createViewStore = (): ViewStore => {
  const tables = new Map<ViewKind, Map<string, unknown>>();
  let revision = 0;

  const acquireTable = (kind: ViewKind): Map<string, unknown> => {
    const known = tables.get(kind);
    if (known) return known;
    const table = new Map<string, unknown>();
    tables.set(kind, table);
    return table;
  };

  const applyEntry = (entry: ViewEntry): void => {
    const table = acquireTable(entry.kind);
    if (entry.value === undefined) table.delete(entry.name);
    else table.set(entry.name, entry.value);
  };

  const apply = (update: ViewUpdate): boolean => {
    if (update.revision < revision) return false;
    if (update.type === 'snapshot') tables.clear();
    update.entries.forEach(applyEntry);
    revision = update.revision;
    return true;
  };

  return {
    revision: () => revision,
    find: <K extends ViewKind>(kind: K, name: string) =>
      acquireTable(kind).get(name) as ViewValues[K] | undefined,
    list: <K extends ViewKind>(kind: K) => [...acquireTable(kind).values()] as ViewValues[K][],
    apply,
  };
};

/** Checks whether a version gets no new work, because it is withdrawn or not in the inventory. */
export const isVersionWithdrawn = (view: View, model: string, version: string): boolean => {
  if (view.find('withdrawal', formatVersionName(model, version))) return true;
  const known = view.find('model', model)?.versions.find((item) => item.name === version);
  return known === undefined || known.state === 'withdrawn';
};

/** Checks whether the inventory marks an endpoint as leaving, so that it gets no new work. */
export const isEndpointLeaving = (view: View, endpoint: string): boolean =>
  view.find('endpoint', endpoint)?.state === 'leaving';

/** Checks whether a member may get new work. */
export const isMemberLive = (view: View, member: Member): boolean =>
  member.state === 'live' && !isEndpointLeaving(view, member.endpoint);
