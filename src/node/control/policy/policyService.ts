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

/** The decisions that need all entries' counts: grants, shared estimates, roll-outs. */
export interface PolicyService {
  readonly handleExchange: (params: PolicyExchange) => Promise<PolicyAnswer>;
  /** Judges every roll-out once; the started service does so twice a second. */
  readonly advance: () => Promise<void>;
  readonly start: () => void;
  readonly stop: () => void;
}

/** What the policy service needs. */
export interface PolicyOptions {
  readonly parts: ControlContext;
  readonly rpc: Pick<RpcClient, 'call'>;
  /** Address of the leader of the `config` group, or nothing when unknown or this host. */
  readonly findLeaderAddress: () => string | undefined;
  /** Gives milliseconds on a monotonic clock. */
  readonly readNow?: () => number;
}

/** Soft state of one time as leader. */
interface Leadership {
  readonly term: number;
  readonly epoch: string;
  readonly startedAt: number;
  readonly grants: GrantTable;
  readonly cells: CellStore;
  readonly guard: RolloutGuard;
  /** Entries that have told what they hold. */
  readonly reported: Set<string>;
}

const GRANT_LIFETIME_MS = 3_000;
/** Longest time that a request may run, as the entries' own limit has it. */
const RUN_LIMIT_MS = 120_000;
const LEARNING_HALF_LIFE_MS = 6 * 3_600_000;
const JUDGE_INTERVAL_MS = 500;
const DEFAULT_FALSE_HALT_RATE = 0.05;
/** Sequences of one term stay below this, so that a later term's are always higher. */
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

/** Creates the policy service of one control host; only the leader's holds anything. */
export const createPolicyService = (options: PolicyOptions): PolicyService => {
  const { parts, rpc, findLeaderAddress, readNow = () => performance.now() } = options;
  const { config, configState, log } = parts;
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

  // An earlier leader's grants may be in force at entries that have not reported to this one.
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

  const computeFalseBrakeRate = (): number => {
    const rules = configState.inventory()?.rules.rollout;
    const rate = rules?.falseHaltRate ?? DEFAULT_FALSE_HALT_RATE;
    return (rate * ENTRY_HALT_FRACTION) / Math.max(1, listEntries().length);
  };

  const runExchange = async (params: PolicyExchange): Promise<PolicyAnswer> => {
    // Whoever cannot confirm that it leads must not grant: another may be granting the same cap.
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
      falseBrakeRate: computeFalseBrakeRate(),
      estimates: state.cells.listChanged(params.node, now),
    };
  };

  const handleExchange: PolicyService['handleExchange'] = async (params) => {
    if (isLeader()) return runExchange(params);
    const leader = findLeaderAddress();
    if (leader !== undefined) {
      return (await rpc.call<PolicyAnswer>(leader, 'policy.exchange', params)).unsafeCoerce();
    }
    const message = 'no leader is known';
    throw createError({ type: 'unavailable', message, step: 'policy.exchange' });
  };

  const advance = async (): Promise<void> => {
    if (!isLeader() || !leadership) return;
    const { term } = (await config.confirmRead()).unsafeCoerce();
    await judgeRollouts(parts, acquireLeadership(term).guard, new Set(listEntries()));
  };

  const schedule = (): void => {
    if (isStopped) return;
    timer = setTimeout(() => {
      advance()
        .catch((cause) => {
          // A turn that a planned stop has overtaken is no fault.
          if (isStopped) return;
          const { step, message } = convertToRouterError(cause, 'policy.judge');
          log.warn({ step, reason: message }, 'roll-outs not judged');
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

/** Creates the methods that entries and other control hosts call. */
export const createPolicyMethods = (service: PolicyService): RpcMethods => ({
  'policy.exchange': createMethod(policyExchangeParams, service.handleExchange),
});
