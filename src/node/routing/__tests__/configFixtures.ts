import type { Route, RoutingConfig } from '../types';

/** Creates a route of the size that operators send; its path prefix makes it unique. */
export const createRoute = (name: string, pathPrefix: string): Route => ({
  name,
  host: 'models.example',
  pathPrefix,
  kind: 'stream',
  timeoutMs: 10_000,
  targetLatencyMs: 3_000,
  gapTargetMs: 1_500,
  rank: 0,
  targets: [{ service: 'large-models', weight: 1 }],
  attemptLimit: 3,
  isPublic: false,
  canResume: true,
  models: ['small-model', 'medium-model', 'large-model'],
});

/** Creates a configuration with one service, to which all routes of `createRoute` lead. */
export const createConfig = (
  version: number,
  fields: Partial<RoutingConfig> = {},
): RoutingConfig => ({
  version,
  routes: [],
  services: [{ name: 'large-models', connectionLimit: 370, engine: undefined }],
  organisations: [],
  limits: {
    headerBytes: 16_384,
    bodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
  ...fields,
});
