import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { Left, Right, type Either } from 'purify-ts';
import { Agent, request, type Dispatcher } from 'undici';
import { createError, RouterError, type ErrorBody } from '../errors';

/** Addresses of the control hosts and an operator's credentials. */
export interface AdminClientOptions {
  /** Addresses in the form `host:port`, tried in order. */
  readonly control: readonly string[];
  readonly secret: string;
  /** PEM certificate of the authority that signed the operators' port; TLS is used if it is set. */
  readonly certificateAuthority?: string;
}

/**
 * Calls the operators' routes. Every change request contains a change id, so it can be retried
 * safely.
 */
export interface AdminClient {
  readonly call: <T>(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: unknown,
  ) => Promise<Either<RouterError, T>>;
  readonly close: () => Promise<void>;
}

const CALL_TIMEOUT_MS = 10_000;
const CONNECT_TIMEOUT_MS = 2_000;
const MAX_ROUNDS = 10;
const ROUND_PAUSE_MS = 300;
const STEP = 'operator.call';

const parseErrorBody = (value: unknown, peer: string): RouterError => {
  const { error } = (value ?? {}) as Partial<ErrorBody>;
  if (error) return createError({ ...error, peer: error.peer || peer });
  const message = 'the control host responded without an error body';
  return createError({ type: 'peer_failed', message, step: STEP, peer, outcome: 'unknown' });
};

/**
 * Reads the operators' secret from a file and trims whitespace. Throws if the file cannot be read.
 */
export const readSecretFile = (file: string): string => {
  try {
    return readFileSync(file, 'utf8').trim();
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    throw createError({ type: 'invalid_request', message, step: 'operator.secret' });
  }
};

/** Creates a client that tries the next control host when one does not answer or has no quorum. */
export const createAdminClient = (options: AdminClientOptions): AdminClient => {
  const { control, secret, certificateAuthority } = options;
  const scheme = certificateAuthority === undefined ? 'http' : 'https';
  const dispatcher = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS, ca: certificateAuthority },
  });

  const callHost = async <T>(
    address: string,
    method: Dispatcher.HttpMethod,
    path: string,
    body: unknown,
  ): Promise<Either<RouterError, T>> => {
    try {
      const response = await request(`${scheme}://${address}${path}`, {
        method,
        dispatcher,
        headers: { authorization: `Bearer ${secret}`, 'content-type': 'application/json' },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      const value = await response.body.json();
      return response.statusCode < 300 ? Right(value as T) : Left(parseErrorBody(value, address));
    } catch (cause) {
      const text = cause instanceof Error ? cause.message : String(cause);
      const message = `no answer from ${address}: ${text || 'connection failed'}`;
      return Left(
        createError({
          type: 'peer_failed',
          message,
          step: STEP,
          peer: address,
          outcome: 'unknown',
        }),
      );
    }
  };

  const call: AdminClient['call'] = async <T>(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: unknown,
  ) => {
    let lastError = createError({
      type: 'unavailable',
      message: 'no control host address was given',
      step: STEP,
    });
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
      let hasHostWithoutQuorum = false;
      for (const address of control) {
        const answer = await callHost<T>(address, method, path, body);
        if (answer.isRight()) return answer;
        lastError = answer.extract() as RouterError;
        const canTryNextHost = lastError.type === 'peer_failed' || lastError.type === 'unavailable';
        if (!canTryNextHost) return answer;
        hasHostWithoutQuorum ||= lastError.type === 'unavailable';
      }
      // A host without a quorum may have one soon. If no host answered at all, waiting does not
      // help.
      if (!hasHostWithoutQuorum) break;
      await sleep(ROUND_PAUSE_MS);
    }
    return Left(lastError);
  };

  return { call, close: () => dispatcher.close() };
};
