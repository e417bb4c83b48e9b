import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import { createError } from '../errors';
import type { Organisation, PlainService } from '../inventory';
import type { ForwardedHeaders } from '../shared';
import { findOrganisation } from './authorise';
import { findTask } from './chatRequest';
import {
  checkReady,
  createCallerSignal,
  readHeader,
  sendAnswer,
  type CallerApiContext,
} from './replies';
import type { RunRequest } from './runTypes';

// The API key, headers that the router sets itself, and headers of a single connection.
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'x-attempt',
  'x-request-id',
]);

const readForwardedHeaders = (request: FastifyRequest): ForwardedHeaders => {
  const connectionHeaders = new Set(
    (request.headers.connection ?? '').split(',').map((name) => name.trim().toLowerCase()),
  );
  return Object.fromEntries(
    Object.entries(request.headers).flatMap(([name, value]) =>
      value === undefined || UNFORWARDED_HEADERS.has(name) || connectionHeaders.has(name)
        ? []
        : [[name, value]],
    ),
  );
};

const DOT_SEGMENT = /(?:^|[/\\])\.{1,2}(?:[/\\]|$)/;

const decodePath = (path: string): string => {
  try {
    return decodeURIComponent(path);
  } catch {
    return '/..';
  }
};

// A path that resolves to another path would bypass the route rules.
const readPath = (request: FastifyRequest, service: string): string => {
  const path = request.url.slice(`/v1/services/${service}`.length);
  const [pathname = ''] = path.split('?');
  const isNormalised = !DOT_SEGMENT.test(decodePath(pathname)) && !pathname.includes('//');
  if (isNormalised && path.startsWith('/')) return path;
  const message = 'the path must not contain dot segments or empty segments';
  throw createError({ type: 'invalid_request', message, step: 'entry.parse' });
};

const hasPrefix = (path: string, prefix: string): boolean => {
  if (!path.startsWith(prefix)) return false;
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/';
};

/** Returns whether a call may be repeated, according to the longest matching route rule. */
export const isRouteIdempotent = (
  service: PlainService | undefined,
  method: string,
  path: string,
): boolean => {
  const [pathname = ''] = path.split('?');
  const routes = (service?.routes ?? []).filter(
    (item) => item.method === method && hasPrefix(pathname, item.path),
  );
  const longest = [...routes].sort((a, b) => b.path.length - a.path.length)[0];
  return longest?.idempotent ?? false;
};

const checkService = (organisation: Organisation, service: string): void => {
  if (organisation.services.includes(service)) return;
  const message = `service '${service}' is unknown or not allowed`;
  throw createError({ type: 'not_allowed', message, step: 'entry.choose' });
};

const createServiceRequest = (
  context: CallerApiContext,
  request: FastifyRequest,
  reply: FastifyReply,
  organisation: Organisation,
): RunRequest => {
  const { service } = request.params as { readonly service: string };
  checkService(organisation, service);
  const path = readPath(request, service);
  const key = readHeader(request, 'idempotency-key');
  const keepsAnswer = key !== undefined;
  const known = context.lease.view.find('service', service);
  return {
    requestId: request.id,
    organisation,
    task: findTask(context.lease.view, undefined),
    service,
    key,
    idempotent: isRouteIdempotent(known, request.method, path),
    keepsAnswer,
    isBuffered: false,
    isDeferred: false,
    firstAttempt: 0,
    method: request.method,
    path,
    headers: readForwardedHeaders(request),
    body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
    signal: createCallerSignal(context, reply, keepsAnswer),
  };
};

/** Registers the routes of plain services. */
export const registerServiceRoutes = (app: FastifyInstance, context: CallerApiContext): void => {
  app.register(async (scope) => {
    scope.removeAllContentTypeParsers();
    scope.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) =>
      done(null, body),
    );
    scope.all('/v1/services/:service/*', async (request, reply) => {
      checkReady(context);
      const organisation = findOrganisation(context.lease.view, request.headers.authorization);
      const runRequest = createServiceRequest(context, request, reply, organisation);
      return sendAnswer(reply, request.id, await context.runner.run(runRequest));
    });
  });
};
