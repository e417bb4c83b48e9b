import type { Route, RoutedOrganisation, RoutedService, RoutingConfig } from './types';

/** A routing configuration with lookup indexes for requests. */
export interface RouteTable {
  readonly config: RoutingConfig;
  /** Finds the route of the host with the longest matching path prefix. */
  readonly findRoute: (host: string, path: string) => Route | undefined;
  readonly findOrganisation: (key: string) => RoutedOrganisation | undefined;
  readonly findService: (name: string) => RoutedService | undefined;
}

/** Checks whether requests of a route may be retried. */
export const isRetryableRoute = ({ kind, canResume }: Route): boolean =>
  kind === 'idempotent' || (kind === 'stream' && canResume);

const removePort = (host: string): string => host.replace(/:\d+$/, '').toLowerCase();

const removeQuery = (path: string): string => path.split(/[?#]/, 1)[0]!;

/** Lists the prefixes of a path that end in a slash, longest first. */
export const listPathPrefixes = (path: string): readonly string[] => {
  const prefixes: string[] = [];
  for (let end = path.length; end > 0; end -= 1) {
    if (path[end - 1] === '/') prefixes.push(path.slice(0, end));
  }
  return prefixes;
};

/** Creates the lookup indexes of a routing configuration. */
export const createRouteTable = (config: RoutingConfig): RouteTable => {
  const hosts = new Map<string, Map<string, Route>>();
  for (const route of config.routes) {
    const host = route.host.toLowerCase();
    const prefixes = hosts.get(host) ?? new Map<string, Route>();
    prefixes.set(route.pathPrefix, route);
    hosts.set(host, prefixes);
  }
  const organisations = new Map(
    config.organisations.flatMap((organisation) =>
      organisation.keys.map((key) => [key, organisation] as const),
    ),
  );
  const services = new Map(config.services.map((service) => [service.name, service]));
  return {
    config,
    findRoute: (host, path) => {
      const prefixes = hosts.get(removePort(host));
      if (!prefixes) return undefined;
      const prefix = listPathPrefixes(removeQuery(path)).find((item) => prefixes.has(item));
      return prefix === undefined ? undefined : prefixes.get(prefix);
    },
    findOrganisation: (key) => organisations.get(key),
    findService: (name) => services.get(name),
  };
};
