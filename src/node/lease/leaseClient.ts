import { randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import type { Logger } from '../log';
import type { RpcClient } from '../rpc';
import type { RenewAnswer } from '../shared';
import { createViewStore, type View } from '../view';

/** What a lease client needs. */
export interface LeaseClientOptions {
  readonly node: string;
  readonly role: 'entry' | 'agent';
  readonly zone: string;
  readonly control: readonly string[];
  readonly rpc: RpcClient;
  readonly log: Logger;
}

/** Holds this process's lease and the configuration that came with it. */
export interface LeaseClient {
  readonly view: View;
  readonly incarnation: () => number;
  /** False once the lease has run out: nothing new may be admitted or started. */
  readonly isValid: () => boolean;
  /** The control host that answered last. */
  readonly controlAddress: () => string;
  /** Gives up on the current control host; the next call goes to another. */
  readonly chooseNextControl: () => void;
  /** Registers with the address of this process's internal port and renews from then on. */
  readonly start: (address: string) => Promise<void>;
  readonly stop: () => Promise<void>;
}

const RENEW_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 1_000;

/** Creates a lease client; `start` resolves once the first lease is held. */
export const createLeaseClient = (options: LeaseClientOptions): LeaseClient => {
  const { node, role, zone, control, rpc, log } = options;
  const view = createViewStore();
  const bootId = randomUUID();
  let address = '';
  let incarnation = 0;
  let validUntil = 0;
  let controlIndex = 0;
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  const readControl = (): string => control[controlIndex % control.length]!;

  const chooseNextControl = (): void => {
    controlIndex += 1;
  };

  const register = async (): Promise<boolean> => {
    const params = { node, role, zone, address, bootId };
    const answer = await rpc.call<{ readonly incarnation: number }>(
      readControl(),
      'control.register',
      params,
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    answer.ifRight((value) => {
      incarnation = value.incarnation;
      log.info({ incarnation, control: readControl() }, 'registered');
    });
    answer.ifLeft((error) => {
      log.warn({ step: error.step, peer: error.peer, reason: error.message }, 'not registered');
      chooseNextControl();
    });
    return answer.isRight();
  };

  const renew = async (): Promise<void> => {
    // The lease counts from the sending, so that a slow answer cannot stretch it.
    const sentAt = performance.now();
    const params = { node, incarnation, revision: view.revision() };
    const answer = await rpc.call<RenewAnswer>(readControl(), 'control.renew', params, {
      timeoutMs: CALL_TIMEOUT_MS,
    });
    answer.ifRight((value) => {
      if (view.apply(value.update)) validUntil = sentAt + value.leaseMs;
    });
    answer.ifLeft((error) => {
      log.warn({ step: error.step, peer: error.peer, reason: error.message }, 'lease not renewed');
      chooseNextControl();
    });
  };

  const advance = async (): Promise<void> => {
    if (incarnation === 0) await register();
    if (incarnation !== 0) await renew();
  };

  const schedule = (): void => {
    if (isStopped) return;
    timer = setTimeout(() => {
      advance().finally(schedule);
    }, RENEW_INTERVAL_MS);
  };

  return {
    view,
    incarnation: () => incarnation,
    isValid: () => performance.now() < validUntil,
    controlAddress: readControl,
    chooseNextControl,
    start: async (ownAddress) => {
      address = ownAddress;
      await advance();
      schedule();
    },
    stop: async () => {
      isStopped = true;
      clearTimeout(timer);
      if (incarnation === 0) return;
      await rpc.call(readControl(), 'control.leave', { node, incarnation });
    },
  };
};
