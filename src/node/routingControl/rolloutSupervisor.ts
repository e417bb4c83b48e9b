import {
  EMPTY_TALLY,
  judgeServiceRollout,
  mergeTallies,
  type RolloutCell,
  type Tally,
} from '../decisions';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import type { Registry } from '../registry';
import type { Replica } from '../replication';
import type { ServiceRollout } from '../routing';
import type { RolloutAge, VersionTally, WatchRoutingParams } from './protocol';
import {
  isFinalStage,
  type RoutingCommand,
  type RoutingResult,
  type RoutingState,
} from './routingState';

/** Options of a roll-out supervisor. */
export interface SupervisorOptions {
  readonly replica: Pick<Replica<RoutingCommand, RoutingResult>, 'propose' | 'status'>;
  readonly state: RoutingState;
  readonly registry: Registry;
  readonly log: Logger;
  /** Returns milliseconds on a monotonic clock. */
  readonly readNow: () => number;
}

/**
 * Supervises all roll-outs on one control host. Only the supervisor on the leader advances them.
 */
export interface RolloutSupervisor {
  /**
   * Replaces the tallies of a gateway and updates the start times of roll-outs from the ages it
   * reports.
   */
  readonly recordTallies: (
    params: Pick<WatchRoutingParams, 'gateway' | 'bootId' | 'tallies' | 'rolloutAges'>,
  ) => void;
  /** Returns how long this host has known each roll-out. */
  readonly listAges: () => readonly RolloutAge[];
  /** Judges every active roll-out once and proposes stage changes. */
  readonly advance: () => Promise<void>;
  readonly start: () => void;
  readonly stop: () => void;
}

interface GatewayCounts {
  readonly bootId: string;
  readonly tallies: readonly VersionTally[];
}

interface ObservedRollout {
  readonly rollout: ServiceRollout;
  readonly startedAt: number;
  readonly stageAt: number;
}

/**
 * Gateways report tallies twice a second, with each watch call. A much shorter interval sees no new
 * data.
 */
const JUDGE_INTERVAL_MS = 250;

const convertTally = (tally: VersionTally): Tally => ({
  ...EMPTY_TALLY,
  requests: tally.requests,
  errors: tally.errors,
  times: tally.times,
  logTimeSum: tally.logTimeSum,
  logTimeSquares: tally.logTimeSquares,
});

const mergeByTask = (tallies: readonly VersionTally[]): ReadonlyMap<string, Tally> => {
  const merged = new Map<string, Tally>();
  for (const tally of tallies) {
    merged.set(
      tally.task,
      mergeTallies(merged.get(tally.task) ?? EMPTY_TALLY, convertTally(tally)),
    );
  }
  return merged;
};

/** Creates the supervisor of one control host. */
export const createRolloutSupervisor = (options: SupervisorOptions): RolloutSupervisor => {
  const { replica, state, registry, log, readNow } = options;
  const countsByGateway = new Map<string, GatewayCounts>();
  /** Last tallies of gateway processes that have ended. Their answers still count. */
  const endedTallies: VersionTally[] = [];
  const observed = new Map<string, ObservedRollout>();
  let timer: NodeJS.Timeout | undefined;
  let isBusy = false;

  const listTallies = (service: string, isIncluded: (version: string) => boolean) =>
    [...[...countsByGateway.values()].flatMap(({ tallies }) => tallies), ...endedTallies].filter(
      (tally) => tally.service === service && isIncluded(tally.version),
    );

  const resolveObserved = (rollout: ServiceRollout): ObservedRollout => {
    const now = readNow();
    const known = observed.get(rollout.service);
    const isSame = known?.rollout.target === rollout.target;
    if (known && isSame && known.rollout.stage === rollout.stage) return known;
    const next: ObservedRollout = {
      rollout,
      startedAt: isSame ? known.startedAt : now,
      stageAt: now,
    };
    observed.set(rollout.service, next);
    return next;
  };

  const listCells = ({ rollout }: ObservedRollout): readonly RolloutCell[] => {
    const candidates = mergeByTask(listTallies(rollout.service, (v) => v === rollout.target));
    const baselines = mergeByTask(listTallies(rollout.service, (v) => v !== rollout.target));
    return [...candidates].map(([task, candidate]) => ({
      organisation: 'all',
      task,
      isHighValue: false,
      candidate,
      baseline: baselines.get(task) ?? EMPTY_TALLY,
    }));
  };

  // A new leader knows only when it first observed a roll-out. Gateways may have known it for
  // longer.
  const updateStartTime = ({ service, target, ageMs }: RolloutAge): void => {
    const known = observed.get(service);
    const startedAt = readNow() - ageMs;
    if (known?.rollout.target !== target || startedAt >= known.startedAt) return;
    observed.set(service, { ...known, startedAt });
  };

  const countReady = (service: string, isIncluded: (version: string) => boolean): number =>
    registry
      .list()
      .filter((record) => record.state === 'ready' && record.report.service === service)
      .filter((record) => isIncluded(record.report.version)).length;

  const judge = async (rollout: ServiceRollout): Promise<void> => {
    const known = resolveObserved(rollout);
    const now = readNow();
    const { service, target, stage, durationMs } = rollout;
    const order = state.findOrder(service);
    const cells = listCells(known);
    const verdict = judgeServiceRollout({
      stage,
      durationMs,
      elapsedMs: now - known.startedAt,
      stageMs: now - known.stageAt,
      readyCandidates: countReady(service, (version) => version === target),
      readyBaselines: countReady(service, (version) => version !== target),
      cells,
    });
    if (verdict.type === 'hold') return;
    const { to, reason } = verdict;
    const answer = await replica.propose({
      type: 'advanceRollout',
      service,
      target,
      from: stage,
      to,
      order,
    });
    const samples = cells.reduce((sum, cell) => sum + cell.candidate.requests, 0);
    const failures = cells.reduce((sum, cell) => sum + cell.candidate.errors, 0);
    const fields = { service, target, from: stage, to, reason, samples, failures };
    answer.ifRight(() => log.info(fields, 'roll-out stage changed'));
    answer.ifLeft((error) =>
      log.warn({ ...fields, err: error }, 'roll-out stage change not committed'),
    );
  };

  const advance = async (): Promise<void> => {
    const rollouts = state.listRollouts();
    rollouts.forEach(resolveObserved);
    if (isBusy || replica.status().role !== 'leader') return;
    isBusy = true;
    try {
      for (const rollout of rollouts) {
        if (!isFinalStage(rollout.stage)) await judge(rollout);
      }
    } finally {
      isBusy = false;
    }
  };

  return {
    recordTallies: ({ gateway, bootId, tallies, rolloutAges }) => {
      const known = countsByGateway.get(gateway);
      if (known && known.bootId !== bootId) endedTallies.push(...known.tallies);
      countsByGateway.set(gateway, { bootId, tallies });
      rolloutAges.forEach(updateStartTime);
    },
    listAges: () =>
      [...observed.values()].map(({ rollout, startedAt }) => ({
        service: rollout.service,
        target: rollout.target,
        ageMs: readNow() - startedAt,
      })),
    advance,
    start: () => {
      timer = setInterval(() => {
        advance().catch((cause: unknown) => {
          log.error(
            { err: convertToRouterError(cause, 'rollout.judge') },
            'judging roll-outs failed',
          );
        });
      }, JUDGE_INTERVAL_MS);
    },
    stop: () => clearInterval(timer),
  };
};
