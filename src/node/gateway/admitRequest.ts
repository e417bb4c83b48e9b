import { Left, Right, type Either } from 'purify-ts';
import type { Route, RoutedOrganisation } from '../routing';
import type { RoutingSnapshot } from './routingView';
import type { CallerHeaders } from './types';

/** The route and organisation of an admitted request. */
export interface Admission {
  readonly route: Route;
  readonly organisation: RoutedOrganisation | undefined;
}

/** Why a request is not admitted. */
export interface AdmissionRefusal {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** Restarted control hosts elect a leader within about this time, in milliseconds. */
const NO_CONFIG_RETRY_MS = 800;

const refuse = (status: number, reason: string): Either<AdmissionRefusal, never> =>
  Left({ status, reason });

/** Checks a request's head against the current configuration. */
export const admitRequest = (
  snapshot: RoutingSnapshot | undefined,
  caller: CallerHeaders,
  path: string,
  headBytes: number,
): Either<AdmissionRefusal, Admission> => {
  if (!snapshot) {
    const reason = 'the gateway has no confirmed configuration';
    return Left({ status: 503, reason, retryAfterMs: NO_CONFIG_RETRY_MS });
  }
  const { table } = snapshot;
  if (headBytes > table.config.limits.headerBytes) {
    return refuse(
      431,
      `the request head has ${headBytes} bytes; the limit is ${table.config.limits.headerBytes}`,
    );
  }
  const route = table.findRoute(caller.host, path);
  if (!route) return refuse(404, `no route matches host '${caller.host}' and the request's path`);
  const organisation =
    caller.apiKey === undefined ? undefined : table.findOrganisation(caller.apiKey);
  const needsKey = !route.isPublic && table.config.organisations.length > 0;
  if (needsKey && !organisation) return refuse(401, 'the API key is missing or unknown');
  return Right({ route, organisation });
};
