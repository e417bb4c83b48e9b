import { randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import murmurhash from 'murmurhash';
import type { RouterError } from '../errors';
import type { Logger } from '../log';
import type { RpcClient } from '../rpc';
import type { RegisterAnswer, RenewAnswer, StaleIncarnation } from '../shared';
import { createViewStore, type View } from '../view';

/** Options of a lease client. */
export interface LeaseClientOptions {
  readonly node: string;
  readonly role: 'entry' | 'agent';
  readonly zone: string;
  readonly host: string;
  readonly control: readonly string[];
  readonly rpc: RpcClient;
  readonly log: Logger;
}

/** Holds the lease of this process and the configuration view received with it. */
export interface LeaseClient {
  readonly view: View;
  readonly incarnation: () => number;
  /** Returns false once the lease has expired. New work must not be admitted or started then. */
  readonly isValid: () => boolean;
  /**
   * Returns true once a newer process has registered under the same name. The lease cannot be
   * regained then.
   */
  readonly isReplaced: () => boolean;
  /** Returns the address of the control host in use. */
  readonly controlAddress: () => string;
  /** Switches to the next control host for all further calls. */
  readonly chooseNextControl: () => void;
  /**
   * Registers this process with its internal address, waits for the first lease and keeps it
   * renewed.
   */
  readonly start: (address: string) => Promise<void>;
  /** Stops renewing the lease and removes the registration. */
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

/** Creates a lease client. `start` resolves once the first lease is held. */
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
    // Nodes start with different control hosts, which spreads the renewals over all of them.
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
    log.warn(
      { step, peer, reason: message },
      'registration or lease renewal failed; trying the next control host',
    );
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
    // After its registration has expired, a process must register again, with a new boot id and
    // incarnation.
    state.incarnation = 0;
    state.bootId = randomUUID();
    log.warn({ isReplaced: stale.isReplaced }, 'incarnation is stale; the lease has ended');
  };

  const renew = async (): Promise<boolean> => {
    // The lease starts when the call is sent, so that a slow answer cannot extend it.
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
