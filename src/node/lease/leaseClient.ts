import { randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import murmurhash from 'murmurhash';
import type { RouterError } from '../errors';
import type { Logger } from '../log';
import type { RpcClient } from '../rpc';
import type { RegisterAnswer, RenewAnswer, StaleIncarnation } from '../shared';
import { createViewStore, type View } from '../view';

/** What a lease client needs. */
export interface LeaseClientOptions {
  readonly node: string;
  readonly role: 'entry' | 'agent';
  readonly zone: string;
  readonly host: string;
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
  /** True once a newer process took this one's name; the lease does not come back. */
  readonly isReplaced: () => boolean;
  /** The control host that answered last. */
  readonly controlAddress: () => string;
  /** Gives up on the current control host; the next call goes to another. */
  readonly chooseNextControl: () => void;
  /** Registers with the address of this process's internal port and renews from then on. */
  readonly start: (address: string) => Promise<void>;
  /** Stops renewing and ends the registration. */
  readonly stop: () => Promise<void>;
}

interface LeaseState {
  bootId: string;
  address: string;
  incarnation: number;
  validFrom: number;
  validUntil: number;
  controlIndex: number;
  isReplaced: boolean;
  isStopped: boolean;
}

const RENEW_WAIT_MS = 1_000;
const CALL_TIMEOUT_MS = 1_000;
const LEAVE_TIMEOUT_MS = 500;
const RETRY_INTERVAL_MS = 100;
const MAX_LEAVE_ATTEMPTS = 3;

/** Creates a lease client; `start` resolves once the first lease is held. */
export const createLeaseClient = (options: LeaseClientOptions): LeaseClient => {
  const { node, role, zone, host, control, rpc, log } = options;
  const view = createViewStore();
  const stopController = new AbortController();
  const state: LeaseState = {
    bootId: randomUUID(),
    address: '',
    incarnation: 0,
    validFrom: 0,
    validUntil: 0,
    // Nodes begin at different control hosts, so that renewals are spread over them.
    controlIndex: murmurhash.v3(node) % control.length,
    isReplaced: false,
    isStopped: false,
  };
  let loop: Promise<void> | undefined;

  const resolveControlAddress = (): string => control[state.controlIndex % control.length]!;

  const isValid = (): boolean => {
    const now = performance.now();
    return now >= state.validFrom && now < state.validUntil;
  };

  const chooseNextControl = (): void => {
    state.controlIndex += 1;
  };

  const handleRegistered = (answer: RegisterAnswer): void => {
    state.incarnation = answer.incarnation;
    state.validFrom = performance.now() + answer.waitMs;
    const { incarnation, waitMs } = answer;
    log.info({ incarnation, control: resolveControlAddress(), waitMs }, 'registered');
  };

  const handleFailure = (error: RouterError): void => {
    const { step, peer, message } = error;
    log.warn({ step, peer, reason: message }, 'lease not renewed');
    chooseNextControl();
  };

  const register = async (): Promise<boolean> => {
    const { bootId, address } = state;
    const params = { node, role, zone, host, address, bootId };
    const answer = await rpc.call<RegisterAnswer>(
      resolveControlAddress(),
      'control.register',
      params,
      {
        timeoutMs: CALL_TIMEOUT_MS,
      },
    );
    answer.ifRight(handleRegistered).ifLeft(handleFailure);
    return answer.isRight();
  };

  const handleStaleIncarnation = (stale: StaleIncarnation): void => {
    state.validUntil = 0;
    state.isReplaced = stale.isReplaced;
    // A process whose registration expired is a new one to control, with a new incarnation.
    state.incarnation = 0;
    state.bootId = randomUUID();
    log.warn({ isReplaced: stale.isReplaced }, 'incarnation is not current');
  };

  const renew = async (): Promise<boolean> => {
    // The lease counts from the sending, so that a slow answer cannot stretch it.
    const sentAt = performance.now();
    const { incarnation } = state;
    const waitMs = isValid() ? RENEW_WAIT_MS : 0;
    const params = { node, incarnation, revision: view.revision(), waitMs };
    const answer = await rpc.call<RenewAnswer>(resolveControlAddress(), 'control.renew', params, {
      timeoutMs: waitMs + CALL_TIMEOUT_MS,
      signal: stopController.signal,
    });
    answer.ifRight((value) => {
      if (view.apply(value.update)) state.validUntil = sentAt + value.leaseMs;
    });
    answer.ifLeft((error) => {
      if (state.isStopped) return;
      if (error.type === 'stale_revision') handleStaleIncarnation(error.data as StaleIncarnation);
      else handleFailure(error);
    });
    return answer.isRight();
  };

  const advance = async (): Promise<void> => {
    const isRegistered = state.incarnation !== 0 || (await register());
    const isRenewed = isRegistered && (await renew());
    if (!isRenewed && !state.isStopped) await sleep(RETRY_INTERVAL_MS);
  };

  const runLoop = async (): Promise<void> => {
    while (!state.isStopped && !state.isReplaced) await advance();
  };

  const releaseRegistration = async (): Promise<void> => {
    const { incarnation } = state;
    for (let tries = 0; tries < MAX_LEAVE_ATTEMPTS && incarnation !== 0; tries += 1) {
      const callOptions = { timeoutMs: LEAVE_TIMEOUT_MS };
      const answer = await rpc.call(
        resolveControlAddress(),
        'control.leave',
        { node, incarnation },
        callOptions,
      );
      if (answer.isRight()) return;
      chooseNextControl();
    }
  };

  return {
    view,
    incarnation: () => state.incarnation,
    isValid,
    isReplaced: () => state.isReplaced,
    controlAddress: resolveControlAddress,
    chooseNextControl,
    start: async (address) => {
      state.address = address;
      while (!isValid() && !state.isReplaced && !state.isStopped) await advance();
      loop = runLoop();
    },
    stop: async () => {
      state.isStopped = true;
      stopController.abort();
      await loop;
      await releaseRegistration();
    },
  };
};
