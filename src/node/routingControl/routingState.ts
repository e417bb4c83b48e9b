import type { RolloutStage, RoutingConfig, ServiceRollout } from '../routing';
import type { StateMachine } from '../replication';
import { readSubmittedConfig, type ReplaceConfigCommand } from './configCommand';

/** Commands of the `routing` group. */
export type RoutingCommand =
  | ReplaceConfigCommand
  | {
      readonly type: 'startRollout';
      readonly service: string;
      readonly target: string;
      readonly durationMs: number;
      /**
       * The latest order for the service when this one was accepted, see `findOrder`. The command is
       * refused if another order has been committed since. Absent in commands of older versions.
       */
      readonly after?: number;
    }
  /** Advances a roll-out. Ignored unless the roll-out is still at the stage that was judged. */
  | {
      readonly type: 'advanceRollout';
      readonly service: string;
      readonly target: string;
      readonly from: RolloutStage;
      readonly to: RolloutStage;
      /** The order that started the judged roll-out. Absent in commands of older versions. */
      readonly order?: number;
    }
  | {
      readonly type: 'evacuateZone';
      readonly zone: string;
      readonly action: EvacuationAction;
      /**
       * The latest order for the zone when this one was accepted, see `findEvacuationOrder`. The
       * command is refused if another order has been committed since.
       */
      readonly after: number;
    };

/** What an operator orders for a zone: to start its evacuation or to end it. */
export type EvacuationAction = 'start' | 'end';

/** The latest order for a zone. */
export interface Evacuation {
  readonly zone: string;
  readonly isActive: boolean;
  /** Log index of the order. */
  readonly order: number;
}

/** Results of the commands of the `routing` group. */
export type RoutingResult =
  | { readonly type: 'accepted'; readonly version: number; readonly isChange: boolean }
  | { readonly type: 'refused'; readonly reason: string };

/** Replicated state: the current configuration, and the latest orders of services and zones. */
export interface RoutingState extends StateMachine<RoutingCommand, RoutingResult> {
  readonly config: () => RoutingConfig | undefined;
  readonly source: () => string | undefined;
  /** Returns the latest roll-out of each service. */
  readonly listRollouts: () => readonly ServiceRollout[];
  /** Returns the log index of the latest order of a roll-out of a service, or 0 if there is none. */
  readonly findOrder: (service: string) => number;
  /** Returns the latest order for each zone that was ever ordered to be evacuated. */
  readonly listEvacuations: () => readonly Evacuation[];
  /** Returns the log index of the latest order for a zone, or 0 if there is none. */
  readonly findEvacuationOrder: (zone: string) => number;
  /** Returns the versions that were rolled back, or whose roll-out was replaced by another. */
  readonly listRetired: () => readonly RetiredVersion[];
  /** Returns the number of changes of the state so far. */
  readonly revision: () => number;
  /** Calls a listener after each change. The returned function removes the listener. */
  readonly addListener: (listener: () => void) => () => void;
}

/** A version of a service that gets no more traffic. */
export interface RetiredVersion {
  readonly service: string;
  readonly version: string;
}

interface Tables {
  config: RoutingConfig | undefined;
  source: string | undefined;
  rollouts: Map<string, ServiceRollout>;
  orders: Map<string, number>;
  evacuations: Map<string, Evacuation>;
  retired: RetiredVersion[];
  revision: number;
}

interface Snapshot {
  readonly config: RoutingConfig | null;
  readonly source: string | null;
  readonly rollouts: readonly ServiceRollout[];
  /** Absent in snapshots of older versions. */
  readonly orders?: readonly (readonly [string, number])[];
  /** Absent in snapshots of older versions. */
  readonly evacuations?: readonly Evacuation[];
  readonly retired: readonly RetiredVersion[];
  readonly revision: number;
}

type Handlers = {
  readonly [T in RoutingCommand['type']]: (
    tables: Tables,
    command: Extract<RoutingCommand, { readonly type: T }>,
    index: number,
  ) => RoutingResult;
};

const readOrder = (tables: Tables, service: string): number => tables.orders.get(service) ?? 0;

const readEvacuationOrder = (tables: Tables, zone: string): number =>
  tables.evacuations.get(zone)?.order ?? 0;

/** Returns whether a roll-out has ended. */
export const isFinalStage = (stage: RolloutStage): boolean =>
  stage === 'completed' || stage === 'rolledBack';

const createAnswer = (tables: Tables, isChange: boolean): RoutingResult => ({
  type: 'accepted',
  version: tables.config?.version ?? 0,
  isChange,
});

const addRetired = (tables: Tables, service: string, version: string): void => {
  const isKnown = tables.retired.some(
    (item) => item.service === service && item.version === version,
  );
  if (!isKnown) tables.retired.push({ service, version });
};

const HANDLERS: Handlers = {
  // A version that is not higher than the current one is outdated. It is acknowledged, but ignored.
  replaceConfig: (tables, command) => {
    const { config, source } = readSubmittedConfig(command);
    if (tables.config && config.version <= tables.config.version) {
      return createAnswer(tables, false);
    }
    tables.config = config;
    tables.source = source;
    return createAnswer(tables, true);
  },
  startRollout: (tables, { service, target, durationMs, after }, index) => {
    const current = tables.rollouts.get(service);
    if (current?.target === target) return createAnswer(tables, false);
    const latest = readOrder(tables, service);
    if (after !== undefined && after !== latest) {
      const reason = `order ${latest} for '${service}' was committed after order ${after}`;
      return { type: 'refused', reason };
    }
    if (current && !isFinalStage(current.stage)) addRetired(tables, service, current.target);
    tables.retired = tables.retired.filter(
      (item) => item.service !== service || item.version !== target,
    );
    tables.rollouts.set(service, { service, target, durationMs, stage: 'canary' });
    tables.orders.set(service, index);
    return createAnswer(tables, true);
  },
  advanceRollout: (tables, { service, target, from, to, order }) => {
    const current = tables.rollouts.get(service);
    const isJudged = order === undefined || order === readOrder(tables, service);
    if (!current || current.target !== target || !isJudged) {
      return { type: 'refused', reason: `no roll-out of '${service}' to '${target}'` };
    }
    if (current.stage !== from) return createAnswer(tables, false);
    tables.rollouts.set(service, { ...current, stage: to });
    if (to === 'rolledBack') addRetired(tables, service, target);
    return createAnswer(tables, true);
  },
  // An order that changes nothing is recorded too. Otherwise a late copy of an opposite order from
  // before it would still name the latest order, and undo it.
  evacuateZone: (tables, { zone, action, after }, index) => {
    const isActive = action === 'start';
    const latest = readEvacuationOrder(tables, zone);
    const isChange = (tables.evacuations.get(zone)?.isActive ?? false) !== isActive;
    if (isChange && after !== latest) {
      const reason = `order ${latest} for zone '${zone}' was committed after order ${after}`;
      return { type: 'refused', reason };
    }
    tables.evacuations.set(zone, { zone, isActive, order: index });
    return createAnswer(tables, isChange);
  },
};

/** Creates an empty routing state. */
export const createRoutingState = (): RoutingState => {
  const tables: Tables = {
    config: undefined,
    source: undefined,
    rollouts: new Map(),
    orders: new Map(),
    evacuations: new Map(),
    retired: [],
    revision: 0,
  };
  const listeners = new Set<() => void>();

  const emitChange = (): void => {
    tables.revision += 1;
    [...listeners].forEach((listener) => listener());
  };

  return {
    apply: (index, command) => {
      const handle = HANDLERS[command.type] as (
        t: Tables,
        c: RoutingCommand,
        i: number,
      ) => RoutingResult;
      const result = handle(tables, command, index);
      if (result.type === 'accepted' && result.isChange) emitChange();
      return result;
    },
    snapshot: (): Snapshot => ({
      config: tables.config ?? null,
      source: tables.source ?? null,
      rollouts: [...tables.rollouts.values()],
      orders: [...tables.orders],
      evacuations: [...tables.evacuations.values()],
      retired: tables.retired,
      revision: tables.revision,
    }),
    restore: (value) => {
      const { config, source, rollouts, retired, revision } = value as Snapshot;
      const { orders = [], evacuations = [] } = value as Snapshot;
      tables.config = config ?? undefined;
      tables.source = source ?? undefined;
      tables.rollouts = new Map(rollouts.map((rollout) => [rollout.service, rollout]));
      tables.orders = new Map(orders);
      tables.evacuations = new Map(evacuations.map((item) => [item.zone, item]));
      tables.retired = [...retired];
      tables.revision = revision;
      [...listeners].forEach((listener) => listener());
    },
    config: () => tables.config,
    source: () => tables.source,
    listRollouts: () => [...tables.rollouts.values()],
    findOrder: (service) => readOrder(tables, service),
    listEvacuations: () => [...tables.evacuations.values()],
    findEvacuationOrder: (zone) => readEvacuationOrder(tables, zone),
    listRetired: () => tables.retired,
    revision: () => tables.revision,
    addListener: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
  };
};
