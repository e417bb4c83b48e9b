import { timingSafeEqual } from 'node:crypto';
import type { FastifyInstance, FastifyRequest } from 'fastify';
import { JSONRPCErrorException, JSONRPCServer, type JSONRPCRequest } from 'json-rpc-2.0';
import type { ZodType } from 'zod';
import { convertToRouterError, createError } from '../errors';

/** One JSON-RPC method: the schema of its parameters and its handler. */
export interface RpcMethod {
  readonly params: ZodType;
  readonly handle: (params: never) => Promise<unknown> | unknown;
}

/** The methods that a process serves, by name. */
export type RpcMethods = Readonly<Record<string, RpcMethod>>;

/**
 * Combines a schema with a handler. The type of the handler's parameter is inferred from the
 * schema.
 */
export const createMethod = <T>(
  params: ZodType<T>,
  handle: (params: T) => Promise<unknown> | unknown,
): RpcMethod => ({ params, handle });

/** Code of JSON-RPC errors whose data contains a router error. */
export const ROUTER_ERROR_CODE = -32000;

/** Compares two secrets in constant time. */
export const isSameSecret = (given: string, expected: string): boolean => {
  const a = Buffer.from(given);
  const b = Buffer.from(expected);
  return a.length === b.length && timingSafeEqual(a, b);
};

/** Throws unless the request contains the bearer secret. */
export const checkSecret = (request: FastifyRequest, secret: string, step: string): void => {
  const given = request.headers.authorization ?? '';
  if (!isSameSecret(given, `Bearer ${secret}`)) {
    throw createError({ type: 'unauthenticated', message: 'the secret is wrong', step });
  }
};

/** Records a completed call; the result is `ok` or the type of the error. */
export type CallRecorder = (method: string, result: string) => void;

const runMethod = async (
  name: string,
  method: RpcMethod,
  params: unknown,
  recordCall: CallRecorder,
): Promise<unknown> => {
  try {
    const parsed = method.params.safeParse(params);
    if (!parsed.success) {
      const message = `invalid parameters: ${parsed.error.issues[0]?.message ?? 'no match'}`;
      throw createError({ type: 'invalid_request', message, step: name });
    }
    const answer = await method.handle(parsed.data as never);
    recordCall(name, 'ok');
    return answer;
  } catch (cause) {
    const error = convertToRouterError(cause, name);
    recordCall(name, error.type);
    const { type, message, step, peer, outcome, retryAfterSeconds, data } = error;
    const body = { type, message, step, peer, outcome, retryAfterSeconds, data };
    throw new JSONRPCErrorException(message, ROUTER_ERROR_CODE, body);
  }
};

/** Registers `POST /rpc` for the given methods. Calls must contain the bearer secret. */
export const registerRpc = (
  app: FastifyInstance,
  methods: RpcMethods,
  secret: string,
  recordCall: CallRecorder = () => {},
): void => {
  const server = new JSONRPCServer({ errorListener: () => {} });
  for (const [name, method] of Object.entries(methods)) {
    server.addMethod(name, (params: unknown) => runMethod(name, method, params, recordCall));
  }
  app.post('/rpc', async (request, reply) => {
    checkSecret(request, secret, 'rpc.authorise');
    const answer = await server.receive(request.body as JSONRPCRequest);
    return reply.send(answer ?? {});
  });
};
