import test from 'ava';
import { checkRoutingConfig, createRouteTable, type Route, type RoutingConfig } from '..';

const ROUTE: Route = {
  name: 'r-1',
  host: 'shop.example',
  pathPrefix: '/a/',
  kind: 'idempotent',
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  gapTargetMs: undefined,
  rank: 0,
  targets: [{ service: 's', weight: 1 }],
  attemptLimit: 2,
  isPublic: false,
  canResume: false,
  models: [],
};

const CONFIG: RoutingConfig = {
  version: 1,
  routes: [ROUTE, { ...ROUTE, name: 'r-2', pathPrefix: '/a/b/' }],
  services: [{ name: 's', connectionLimit: 10, engine: undefined }],
  organisations: [
    { name: 'north', keys: ['k-1'], rank: undefined },
    { name: 'south', keys: ['k-2'], rank: 1 },
  ],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

const createChange = (fields: Partial<Route>): Partial<RoutingConfig> => ({
  routes: [{ ...ROUTE, ...fields }],
});

const faults: readonly {
  readonly name: string;
  readonly change: Partial<RoutingConfig>;
  readonly finds: RegExp | undefined;
}[] = [
  { name: 'valid', change: {}, finds: undefined },
  {
    name: 'unknown service',
    change: createChange({ targets: [{ service: 'x', weight: 1 }] }),
    finds: /route 'r-1' refers to unknown service 'x'/,
  },
  {
    name: 'duplicate host and prefix',
    change: { routes: [ROUTE, ROUTE] },
    finds: /shop.example\/a\//,
  },
  {
    name: 'duplicate host in different case',
    change: { routes: [ROUTE, { ...ROUTE, host: 'SHOP.example' }] },
    finds: /more than one route has host and prefix/,
  },
  {
    name: 'weights with a sum of 0',
    change: createChange({ targets: [{ service: 's', weight: 0 }] }),
    finds: /route 'r-1' has target weights with a sum of 0/,
  },
  { name: 'timeout of 0', change: createChange({ timeoutMs: 0 }), finds: /must be above 0 ms/ },
  {
    name: 'prefix without a closing slash',
    change: createChange({ pathPrefix: '/a' }),
    finds: /must begin and end with a slash/,
  },
  {
    name: 'API key of two organisations',
    change: { organisations: [...CONFIG.organisations, { name: 'west', keys: ['k-1'], rank: 0 }] },
    finds: /'north' and 'west' have the same API key/,
  },
];

for (const { name, change, finds } of faults) {
  test(`routing configuration: ${name}`, (t) => {
    const found = checkRoutingConfig({ ...CONFIG, ...change }).join('; ');
    if (finds) t.regex(found, finds);
    else t.is(found, '');
    t.false(found.includes('k-1'), 'the message must not contain a key');
  });
}

const lookups = [
  { host: 'shop.example', path: '/a/x', route: 'r-1' },
  { host: 'shop.example', path: '/a/b/c?d=/e/', route: 'r-2' },
  { host: 'shop.example', path: '/a/b', route: 'r-1' },
  { host: 'Shop.Example:8080', path: '/a/', route: 'r-1' },
  { host: 'shop.example', path: '/a', route: undefined },
  { host: 'other.example', path: '/a/x', route: undefined },
] as const;

for (const { host, path, route } of lookups) {
  test(`route lookup of ${host}${path}`, (t) => {
    t.is(createRouteTable(CONFIG).findRoute(host, path)?.name, route);
  });
}

test('an organisation is found by its API key', (t) => {
  const table = createRouteTable(CONFIG);
  t.is(table.findOrganisation('k-2')?.name, 'south');
  t.is(table.findOrganisation('k-3'), undefined);
});
