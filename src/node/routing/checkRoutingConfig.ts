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
      .map(({ service }) => `route '${name}' names the unknown service '${service}'`),
  );
};

const checkWeights: Check = ({ routes }) =>
  routes
    .filter(({ targets }) => targets.reduce((sum, target) => sum + target.weight, 0) <= 0)
    .map(({ name }) => `the weights of route '${name}' add up to 0`);

const checkTimeouts: Check = ({ routes }) =>
  routes
    .filter(({ timeoutMs }) => timeoutMs <= 0)
    .map(({ name }) => `the timeout of route '${name}' is not above 0 ms`);

const checkPrefixes: Check = ({ routes }) =>
  routes
    .filter(({ pathPrefix }) => !pathPrefix.startsWith('/') || !pathPrefix.endsWith('/'))
    .map(({ name, pathPrefix }) => `the prefix '${pathPrefix}' of route '${name}' lacks a slash`);

const checkDuplicateRoutes: Check = ({ routes }) =>
  listDuplicates(routes.map(({ host, pathPrefix }) => `${host.toLowerCase()}${pathPrefix}`)).map(
    (place) => `two routes share the place '${place}'`,
  );

const checkDuplicateServices: Check = ({ services }) =>
  listDuplicates(services.map(({ name }) => name)).map((name) => `service '${name}' stands twice`);

// The key itself stays out of the message, since messages are logged.
const checkKeys: Check = ({ organisations }) => {
  const owners = new Map<string, string>();
  return organisations.flatMap(({ name, keys }) =>
    keys.flatMap((key) => {
      const owner = owners.get(key) ?? name;
      owners.set(key, owner);
      return owner === name ? [] : [`organisations '${owner}' and '${name}' share a key`];
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

/** Lists what is wrong with a routing configuration, each with the route or service it concerns. */
export const checkRoutingConfig = (config: RoutingConfig): readonly string[] =>
  CHECKS.flatMap((check) => check(config));
