import type { RoutingConfig } from './types';

type Check = (config: RoutingConfig) => readonly string[];

const listDuplicates = (values: readonly string[]): readonly string[] => {
  const seen = new Set<string>();
  const repeated = new Set<string>();
  for (const value of values) (seen.has(value) ? repeated : seen).add(value);
  return [...repeated];
};

const checkTargets: Check = ({ routes, services }) => {
  const known = new Set(services.map((service) => service.name));
  return routes.flatMap(({ name, targets }) =>
    targets
      .filter(({ service }) => !known.has(service))
      .map(({ service }) => `route '${name}' refers to unknown service '${service}'`),
  );
};

const checkWeights: Check = ({ routes }) =>
  routes
    .filter(({ targets }) => targets.reduce((sum, target) => sum + target.weight, 0) <= 0)
    .map(({ name }) => `route '${name}' has target weights with a sum of 0`);

const checkTimeouts: Check = ({ routes }) =>
  routes
    .filter(({ timeoutMs }) => timeoutMs <= 0)
    .map(({ name }) => `the timeout of route '${name}' must be above 0 ms`);

const checkPrefixes: Check = ({ routes }) =>
  routes
    .filter(({ pathPrefix }) => !pathPrefix.startsWith('/') || !pathPrefix.endsWith('/'))
    .map(
      ({ name, pathPrefix }) =>
        `route '${name}' has prefix '${pathPrefix}', which must begin and end with a slash`,
    );

const checkDuplicateRoutes: Check = ({ routes }) =>
  listDuplicates(routes.map(({ host, pathPrefix }) => `${host.toLowerCase()}${pathPrefix}`)).map(
    (place) => `more than one route has host and prefix '${place}'`,
  );

const checkDuplicateServices: Check = ({ services }) =>
  listDuplicates(services.map(({ name }) => name)).map(
    (name) => `service '${name}' is defined more than once`,
  );

// The message does not contain the key, because messages are logged.
const checkKeys: Check = ({ organisations }) => {
  const owners = new Map<string, string>();
  return organisations.flatMap(({ name, keys }) =>
    keys.flatMap((key) => {
      const owner = owners.get(key) ?? name;
      owners.set(key, owner);
      return owner === name ? [] : [`organisations '${owner}' and '${name}' have the same API key`];
    }),
  );
};

const CHECKS: readonly Check[] = [
  checkTargets,
  checkWeights,
  checkTimeouts,
  checkPrefixes,
  checkDuplicateRoutes,
  checkDuplicateServices,
  checkKeys,
];

/** Lists the errors of a routing configuration; each names the route or service. */
export const checkRoutingConfig = (config: RoutingConfig): readonly string[] =>
  CHECKS.flatMap((check) => check(config));
