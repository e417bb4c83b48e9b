import { randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import {
  ENTRY_HALT_FRACTION,
  createGrantTable,
  type Grant,
  type GrantTable,
} from '../../decisions';
import { convertToRouterError, createError } from '../../errors';
import type { Organisation } from '../../inventory';
import { createMethod, type RpcClient, type RpcMethods } from '../../rpc';
import { policyExchangeParams, type PolicyAnswer, type PolicyExchange } from '../../shared';
import type { ControlContext } from '../controlContext';
import { createCellStore, type CellStore } from './cellStore';
import { createRolloutGuard, type RolloutGuard } from './rolloutGuard';
import { judgeRollouts } from './rolloutJudge';

/**
 * Makes the decisions that need the counts of all entries: grants, shared estimates and roll-outs.
 */
export interface PolicyService {
  readonly handleExchange: (params: PolicyExchange) => Promise<PolicyAnswer>;
  /** Judges every roll-out once. After `start`, this runs twice a second. */
  readonly advance: () => Promise<void>;
  readonly start: () => void;
  readonly stop: () => void;
}

/** Options of the policy service. */
export interface PolicyOptions {
  readonly context: ControlContext;
  readonly rpc: Pick<RpcClient, 'call'>;
  /**
   * Returns the address of the `config` group's leader, or undefined if it is unknown or this host.
   */
  readonly findLeaderAddress: () => string | undefined;
  /** Returns milliseconds on a monotonic clock. */
  readonly readNow?: () => number;
}

/** In-memory state of one term as leader. */
interface Leadership {
  readonly term: number;
  readonly epoch: string;
  readonly startedAt: number;
  readonly grants: GrantTable;
  readonly cells: CellStore;
  readonly guard: RolloutGuard;
  /** Entries that have reported since the term began. */
  readonly reported: Set<string>;
}

const GRANT_LIFETIME_MS = 3_000;
/** Maximum run time of a request. Equal to the entries' own limit. */
const RUN_LIMIT_MS = 120_000;
const LEARNING_HALF_LIFE_MS = 6 * 3_600_000;
const JUDGE_INTERVAL_MS = 500;
const DEFAULT_FALSE_HALT_RATE = 0.05;
/**
 * Range of grant sequences reserved for each term, so that sequences of a later term are always
 * higher.
 */
const SEQUENCES_PER_TERM = 2 ** 32;

const createLeadership = (term: number, now: number): Leadership => ({
  term,
  epoch: randomUUID(),
  startedAt: now,
  grants: createGrantTable({
    lifetimeMs: GRANT_LIFETIME_MS,
    runLimitMs: RUN_LIMIT_MS,
    firstSequence: term * SEQUENCES_PER_TERM,
  }),
  cells: createCellStore(LEARNING_HALF_LIFE_MS),
  guard: createRolloutGuard(),
  reported: new Set(),
});

/** Creates the policy service of one control host. Only the leader's service holds state. */
export const createPolicyService = (options: PolicyOptions): PolicyService => {
  const { context, rpc, findLeaderAddress, readNow = () => performance.now() } = options;
  const { config, configState, log } = context;
  let leadership: Leadership | undefined;
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  const isLeader = (): boolean => config.status().role === 'leader';

  const acquireLeadership = (term: number): Leadership => {
    if (leadership?.term !== term) leadership = createLeadership(term, readNow());
    return leadership;
  };

  const listEntries = (): readonly string[] =>
    configState
      .listNodes()
      .filter((record) => record.role === 'entry')
      .map((record) => record.node);

  // Grants of an earlier leader may still be valid at entries that have not reported to this leader
  // yet.
  const isRecovering = (state: Leadership, now: number): boolean => {
    const isOver = now >= state.startedAt + GRANT_LIFETIME_MS + RUN_LIMIT_MS;
    return !isOver && listEntries().some((entry) => !state.reported.has(entry));
  };

  const grantAll = (
    state: Leadership,
    params: PolicyExchange,
    now: number,
  ): Readonly<Record<string, Grant>> => {
    const known = new Map(
      (configState.inventory()?.organisations ?? []).map((item) => [item.name, item] as const),
    );
    const grantOne = (organisation: Organisation): Grant =>
      state.grants.grant({
        entry: params.node,
        organisation: organisation.name,
        cap: organisation.cap,
        demand: params.demands[organisation.name]!,
        now,
        isRecovering: isRecovering(state, now),
      });
    return Object.fromEntries(
      Object.keys(params.demands)
        .filter((name) => known.has(name))
        .map((name) => [name, grantOne(known.get(name)!)]),
    );
  };

  const checkIncarnation = ({ node, incarnation }: PolicyExchange): void => {
    if (configState.findNode(node)?.incarnation === incarnation) return;
    const message = `incarnation ${incarnation} of '${node}' is not the current one`;
    throw createError({ type: 'stale_revision', message, step: 'policy.exchange' });
  };

  const computeEntryFalseHaltRate = (): number => {
    const rules = configState.inventory()?.rules.rollout;
    const rate = rules?.falseHaltRate ?? DEFAULT_FALSE_HALT_RATE;
    return (rate * ENTRY_HALT_FRACTION) / Math.max(1, listEntries().length);
  };

  const runExchange = async (params: PolicyExchange): Promise<PolicyAnswer> => {
    // A host that cannot confirm its leadership must not grant: another leader may be granting the
    // same cap.
    const { term } = (await config.confirmRead()).unsafeCoerce();
    checkIncarnation(params);
    const now = readNow();
    const state = acquireLeadership(term);
    state.reported.add(params.node);
    params.cells.forEach((cell) => state.cells.update(params.node, cell, now));
    state.guard.record(params.node, params.rollouts);
    return {
      epoch: state.epoch,
      grants: grantAll(state, params, now),
      lifetimeMs: GRANT_LIFETIME_MS,
      falseBrakeRate: computeEntryFalseHaltRate(),
      estimates: state.cells.listChanged(params.node, now),
    };
  };

  const handleExchange: PolicyService['handleExchange'] = async (params) => {
    if (isLeader()) return runExchange(params);
    const leader = findLeaderAddress();
    if (leader !== undefined) {
      return (await rpc.call<PolicyAnswer>(leader, 'policy.exchange', params)).unsafeCoerce();
    }
    const message = 'no leader of the config group is known';
    throw createError({ type: 'unavailable', message, step: 'policy.exchange' });
  };

  const advance = async (): Promise<void> => {
    if (!isLeader() || !leadership) return;
    const { term } = (await config.confirmRead()).unsafeCoerce();
    await judgeRollouts(context, acquireLeadership(term).guard, new Set(listEntries()));
  };

  const schedule = (): void => {
    if (isStopped) return;
    timer = setTimeout(() => {
      advance()
        .catch((cause) => {
          // A failure during shutdown is expected.
          if (isStopped) return;
          const { step, message } = convertToRouterError(cause, 'policy.judge');
          log.warn({ step, reason: message }, 'judging roll-outs failed');
        })
        .finally(schedule);
    }, JUDGE_INTERVAL_MS);
  };

  return {
    handleExchange,
    advance,
    start: schedule,
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
};

/** Creates the RPC methods that entries and other control hosts call. */
export const createPolicyMethods = (service: PolicyService): RpcMethods => ({
  'policy.exchange': createMethod(policyExchangeParams, service.handleExchange),
});
