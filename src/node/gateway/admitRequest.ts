import { Left, Right, type Either } from 'purify-ts';
import type { Route, RoutedOrganisation } from '../routing';
import type { RoutingSnapshot } from './routingView';
import type { CallerHeaders } from './types';

/** A request that the configuration allows. */
export interface Admission {
  readonly route: Route;
  readonly organisation: RoutedOrganisation | undefined;
}

/** Why a request is not taken. */
export interface AdmissionRefusal {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** A group of control hosts that starts anew has a leader within about this time, in milliseconds. */
const NO_CONFIG_RETRY_MS = 800;

const refuse = (status: number, reason: string): Either<AdmissionRefusal, never> =>
  Left({ status, reason });

/** Checks a request's head against the configuration in force. */
export const admitRequest = (
  facts: RoutingSnapshot | undefined,
  caller: CallerHeaders,
  path: string,
  headBytes: number,
): Either<AdmissionRefusal, Admission> => {
  if (!facts) {
    const reason = 'this gateway has no confirmed configuration';
    return Left({ status: 503, reason, retryAfterMs: NO_CONFIG_RETRY_MS });
  }
  const { table } = facts;
  if (headBytes > table.config.limits.headerBytes) {
    return refuse(431, `the head has ${headBytes} bytes`);
  }
  const route = table.findRoute(caller.host, path);
  if (!route) return refuse(404, `no route for host '${caller.host}' and this path`);
  const organisation =
    caller.apiKey === undefined ? undefined : table.findOrganisation(caller.apiKey);
  const needsKey = !route.isPublic && table.config.organisations.length > 0;
  if (needsKey && !organisation) return refuse(401, 'the API key is missing or unknown');
  return Right({ route, organisation });
};
