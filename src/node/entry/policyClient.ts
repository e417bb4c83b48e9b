import type { GrantHolder, Learning } from '../decisions';
import type { LeaseClient } from '../lease';
import type { Logger } from '../log';
import type { RpcClient } from '../rpc';
import type { PolicyAnswer, PolicyExchange } from '../shared';

/** Exchanges counts, grants and estimates with control. */
export interface PolicyClient {
  /** Runs an exchange ahead of schedule. Called when a request lacks a grant. */
  readonly requestExchange: () => void;
  readonly start: () => void;
  readonly stop: () => void;
}

/** Options of a policy client. */
export interface PolicyClientOptions {
  readonly node: string;
  readonly lease: Pick<LeaseClient, 'controlAddress' | 'incarnation' | 'isValid'>;
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly learning: Learning;
  readonly holder: GrantHolder;
  /** Returns milliseconds of a monotonic clock. */
  readonly readNow: () => number;
  readonly log: Logger;
}

const EXCHANGE_INTERVAL_MS = 1_000;
/** Minimum time between the last exchange and a requested one. */
const MIN_EXCHANGE_INTERVAL_MS = 200;
const CALL_TIMEOUT_MS = 1_000;

/** Creates the policy client of one entry. */
export const createPolicyClient = (options: PolicyClientOptions): PolicyClient => {
  const { node, lease, rpc, learning, holder, readNow, log } = options;
  let epoch = '';
  let isFullListDue = true;
  let isStopped = false;
  let isRunning = false;
  let lastExchangeAt = -Infinity;
  let timer: NodeJS.Timeout | undefined;

  const createExchange = (now: number): PolicyExchange => ({
    node,
    incarnation: lease.incarnation(),
    demands: Object.fromEntries(holder.listDemands(now)),
    cells: learning.estimates
      .listChanged(now, isFullListDue)
      .map(({ name, tally }) => ({ name, tally })),
    rollouts: [...learning.listRollouts()],
  });

  const applyAnswer = (answer: PolicyAnswer, sentAt: number): void => {
    const now = readNow();
    // Grants expire relative to the send time, so that a slow answer does not extend them.
    const expiresAt = sentAt + answer.lifetimeMs;
    for (const [organisation, grant] of Object.entries(answer.grants)) {
      holder.install(organisation, grant, expiresAt, now);
    }
    for (const { name, tally } of answer.estimates) {
      learning.estimates.updateShared({ name, at: now, tally });
    }
    isFullListDue = answer.epoch !== epoch;
    epoch = answer.epoch;
    learning.updateFalseHaltRate(answer.falseBrakeRate);
  };

  const runExchange = async (): Promise<void> => {
    const sentAt = readNow();
    lastExchangeAt = sentAt;
    const params = createExchange(sentAt);
    const answer = await rpc.call<PolicyAnswer>(lease.controlAddress(), 'policy.exchange', params, {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    answer.ifRight((value) => applyAnswer(value, sentAt));
    answer.ifLeft((error) => {
      // The listed changes may not have arrived, so the next exchange lists all cells.
      isFullListDue = true;
      log.debug(
        { step: error.step, peer: error.peer, reason: error.message },
        'policy exchange failed',
      );
    });
  };

  const schedule = (delayMs: number): void => {
    clearTimeout(timer);
    if (isStopped) return;
    timer = setTimeout(() => {
      isRunning = true;
      const ready = lease.incarnation() === 0 ? Promise.resolve() : runExchange();
      ready
        .catch((cause) => log.warn({ reason: String(cause) }, 'policy exchange failed'))
        .finally(() => {
          isRunning = false;
          schedule(EXCHANGE_INTERVAL_MS);
        });
    }, delayMs);
  };

  return {
    requestExchange: () => {
      if (isRunning || isStopped) return;
      schedule(Math.max(0, lastExchangeAt + MIN_EXCHANGE_INTERVAL_MS - readNow()));
    },
    start: () => schedule(0),
    stop: () => {
      isStopped = true;
      clearTimeout(timer);
    },
  };
};
