import { Left, Right, type Either } from 'purify-ts';
import { Pool, type Dispatcher } from 'undici';
import { createError, RouterError, type RouterErrorFields } from '../errors';

/** Options of one call. */
export interface CallOptions {
  readonly timeoutMs?: number;
  readonly signal?: AbortSignal;
}

/**
 * Calls methods of peers by address. Errors are returned as a `Left` that contains the step and the
 * peer.
 */
export interface RpcClient {
  readonly call: <T>(
    address: string,
    method: string,
    params: unknown,
    options?: CallOptions,
  ) => Promise<Either<RouterError, T>>;
  readonly request: (
    address: string,
    options: Omit<Dispatcher.RequestOptions, 'origin'>,
  ) => Promise<Dispatcher.ResponseData>;
  /**
   * Makes later requests to a peer use new connections. Requests on the old connections continue.
   */
  readonly replaceConnections: (address: string) => void;
  readonly close: () => Promise<void>;
}

/** Options of an RPC client: the internal secret, and the scheme of the internal ports. */
export interface RpcClientOptions {
  readonly secret: string;
  readonly scheme?: 'http' | 'https';
  readonly certificateAuthority?: string;
}

const CALL_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
const CALL_CONNECTIONS = 64;
const STREAM_CONNECTIONS = 4_096;

interface RpcResponse {
  readonly result?: unknown;
  readonly error?: { readonly message: string; readonly data?: RouterErrorFields };
}

const parseResponse = <T>(
  answer: RpcResponse,
  method: string,
  peer: string,
): Either<RouterError, T> => {
  if (!answer.error) return Right(answer.result as T);
  const fields = answer.error.data;
  if (fields?.type) return Left(createError({ ...fields, peer: fields.peer || peer }));
  const { message } = answer.error;
  return Left(
    createError({ type: 'peer_failed', message, step: method, peer, outcome: 'unknown' }),
  );
};

interface CallTimeout {
  readonly signal: AbortSignal;
  readonly isTimedOut: () => boolean;
  readonly close: () => void;
}

// Uses one controller per call: a combined signal would stay registered on a long-lived signal.
const createCallTimeout = (options: CallOptions): CallTimeout => {
  const controller = new AbortController();
  let isTimedOut = false;
  const handleAbort = (): void => controller.abort();
  const handleTimeout = (): void => {
    isTimedOut = true;
    controller.abort();
  };
  const timer = setTimeout(handleTimeout, options.timeoutMs ?? CALL_TIMEOUT_MS);
  if (options.signal?.aborted) handleAbort();
  options.signal?.addEventListener('abort', handleAbort, { once: true });
  return {
    signal: controller.signal,
    isTimedOut: () => isTimedOut,
    close: () => {
      clearTimeout(timer);
      options.signal?.removeEventListener('abort', handleAbort);
    },
  };
};

/** Creates a client with one connection pool per peer. */
export const createRpcClient = (options: RpcClientOptions): RpcClient => {
  const callPools = new Map<string, Pool>();
  // Streams occupy their connections for a long time, so they have separate pools. Calls must not
  // wait for them.
  const streamPools = new Map<string, Pool>();
  const scheme = options.scheme ?? 'http';
  let nextId = 1;

  const acquirePool = (pools: Map<string, Pool>, address: string, connections: number): Pool => {
    const known = pools.get(address);
    if (known) return known;
    const pool = new Pool(`${scheme}://${address}`, {
      connections,
      connect: { timeout: CONNECT_TIMEOUT_MS, ca: options.certificateAuthority },
    });
    pools.set(address, pool);
    return pool;
  };

  // A call may have timed out because its connection is dead, so the next call uses a new pool.
  const replaceConnections = (address: string): void => {
    for (const pools of [callPools, streamPools]) {
      const pool = pools.get(address);
      pools.delete(address);
      pool?.close().catch(() => {});
    }
  };

  const sendRequest = (
    pool: Pool,
    requestOptions: Omit<Dispatcher.RequestOptions, 'origin'>,
  ): Promise<Dispatcher.ResponseData> =>
    pool.request({
      ...requestOptions,
      headers: { ...requestOptions.headers, authorization: `Bearer ${options.secret}` },
    });

  const request: RpcClient['request'] = (address, requestOptions) =>
    sendRequest(acquirePool(streamPools, address, STREAM_CONNECTIONS), requestOptions);

  const call: RpcClient['call'] = async <T>(
    address: string,
    method: string,
    params: unknown,
    callOptions: CallOptions = {},
  ) => {
    nextId += 1;
    const timeout = createCallTimeout(callOptions);
    try {
      const response = await sendRequest(acquirePool(callPools, address, CALL_CONNECTIONS), {
        path: '/rpc',
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ jsonrpc: '2.0', id: nextId, method, params }),
        signal: timeout.signal,
      });
      return parseResponse<T>((await response.body.json()) as RpcResponse, method, address);
    } catch (cause) {
      if (timeout.isTimedOut()) replaceConnections(address);
      const message = cause instanceof Error ? cause.message : String(cause);
      const type = timeout.isTimedOut() ? 'timeout' : 'peer_failed';
      return Left(createError({ type, message, step: method, peer: address, outcome: 'unknown' }));
    } finally {
      timeout.close();
    }
  };

  const close = async (): Promise<void> => {
    const pools = [...callPools.values(), ...streamPools.values()];
    await Promise.all(pools.map((pool) => pool.destroy()));
    callPools.clear();
    streamPools.clear();
  };

  return { call, request, replaceConnections, close };
};
