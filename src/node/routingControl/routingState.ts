import type { RolloutStage, RoutingConfig, ServiceRollout } from '../routing';
import type { StateMachine } from '../replication';

/** The commands of the `routing` group. */
export type RoutingCommand =
  | {
      readonly type: 'replaceConfig';
      readonly config: RoutingConfig;
      /** Text that the operator sent, which is what a read gives back. */
      readonly source: string;
    }
  | {
      readonly type: 'startRollout';
      readonly service: string;
      readonly target: string;
      readonly durationMs: number;
    }
  /** Moves a roll-out on; ignored unless it is still at the stage that the judge saw. */
  | {
      readonly type: 'advanceRollout';
      readonly service: string;
      readonly target: string;
      readonly from: RolloutStage;
      readonly to: RolloutStage;
    };

/** The answers of the `routing` group. */
export type RoutingResult =
  | { readonly type: 'accepted'; readonly version: number; readonly isChange: boolean }
  | { readonly type: 'refused'; readonly reason: string };

/** The replicated state: the configuration in force and every roll-out, by service. */
export interface RoutingState extends StateMachine<RoutingCommand, RoutingResult> {
  readonly config: () => RoutingConfig | undefined;
  readonly source: () => string | undefined;
  /** The newest roll-out of each service. */
  readonly listRollouts: () => readonly ServiceRollout[];
  /** Versions of each service that were rolled back or replaced. */
  readonly listRetired: () => readonly RetiredVersion[];
  /** Counts changes of the state. */
  readonly revision: () => number;
  /** Calls back after each change, until the returned function is called. */
  readonly addListener: (listener: () => void) => () => void;
}

/** A version that gets no more traffic. */
export interface RetiredVersion {
  readonly service: string;
  readonly version: string;
}

interface Tables {
  config: RoutingConfig | undefined;
  source: string | undefined;
  rollouts: Map<string, ServiceRollout>;
  retired: RetiredVersion[];
  revision: number;
}

interface Snapshot {
  readonly config: RoutingConfig | null;
  readonly source: string | null;
  readonly rollouts: readonly ServiceRollout[];
  readonly retired: readonly RetiredVersion[];
  readonly revision: number;
}

type Handlers = {
  readonly [T in RoutingCommand['type']]: (
    tables: Tables,
    command: Extract<RoutingCommand, { readonly type: T }>,
  ) => RoutingResult;
};

/** Says whether a roll-out has ended. */
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
  // A version that is not higher has been overtaken: it is acknowledged and changes nothing.
  replaceConfig: (tables, { config, source }) => {
    if (tables.config && config.version <= tables.config.version) {
      return createAnswer(tables, false);
    }
    tables.config = config;
    tables.source = source;
    return createAnswer(tables, true);
  },
  startRollout: (tables, { service, target, durationMs }) => {
    const current = tables.rollouts.get(service);
    if (current?.target === target) return createAnswer(tables, false);
    if (current && !isFinalStage(current.stage)) addRetired(tables, service, current.target);
    tables.retired = tables.retired.filter(
      (item) => item.service !== service || item.version !== target,
    );
    tables.rollouts.set(service, { service, target, durationMs, stage: 'canary' });
    return createAnswer(tables, true);
  },
  advanceRollout: (tables, { service, target, from, to }) => {
    const current = tables.rollouts.get(service);
    if (!current || current.target !== target) {
      return { type: 'refused', reason: `no roll-out of '${service}' to '${target}'` };
    }
    if (current.stage !== from) return createAnswer(tables, false);
    tables.rollouts.set(service, { ...current, stage: to });
    if (to === 'rolledBack') addRetired(tables, service, target);
    return createAnswer(tables, true);
  },
};

/** Creates the empty state. */
export const createRoutingState = (): RoutingState => {
  const tables: Tables = {
    config: undefined,
    source: undefined,
    rollouts: new Map(),
    retired: [],
    revision: 0,
  };
  const listeners = new Set<() => void>();

  const emitChange = (): void => {
    tables.revision += 1;
    [...listeners].forEach((listener) => listener());
  };

  return {
    apply: (_index, command) => {
      const handle = HANDLERS[command.type] as (t: Tables, c: RoutingCommand) => RoutingResult;
      const result = handle(tables, command);
      if (result.type === 'accepted' && result.isChange) emitChange();
      return result;
    },
    snapshot: (): Snapshot => ({
      config: tables.config ?? null,
      source: tables.source ?? null,
      rollouts: [...tables.rollouts.values()],
      retired: tables.retired,
      revision: tables.revision,
    }),
    restore: (value) => {
      const { config, source, rollouts, retired, revision } = value as Snapshot;
      tables.config = config ?? undefined;
      tables.source = source ?? undefined;
      tables.rollouts = new Map(rollouts.map((rollout) => [rollout.service, rollout]));
      tables.retired = [...retired];
      tables.revision = revision;
      [...listeners].forEach((listener) => listener());
    },
    config: () => tables.config,
    source: () => tables.source,
    listRollouts: () => [...tables.rollouts.values()],
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
