import { z } from 'zod';
import type { EndpointRecord } from '../registry';
import type { RoutingConfig, ServiceRollout } from '../routing';
import type { RetiredVersion } from './routingState';

/** What a gateway counted of one version on one route since it started. */
export const versionTallySchema = z.strictObject({
  service: z.string(),
  version: z.string(),
  /** Route and model, whose answers are alike. */
  task: z.string(),
  requests: z.number(),
  errors: z.number(),
  times: z.number(),
  logTimeSum: z.number(),
  logTimeSquares: z.number(),
});

/** What a gateway counted of one version on one route since it started. */
export type VersionTally = Readonly<z.infer<typeof versionTallySchema>>;

/** How long a gateway has known of a roll-out, which outlasts the control host that began it. */
export const rolloutAgeSchema = z.strictObject({
  service: z.string(),
  target: z.string(),
  ageMs: z.number().min(0),
});

/** How long a gateway has known of a roll-out. */
export type RolloutAge = Readonly<z.infer<typeof rolloutAgeSchema>>;

/** Parameters of `routing.watch`. */
export const watchRoutingParams = z.strictObject({
  gateway: z.string(),
  /** Random id of the gateway's process. */
  bootId: z.string(),
  revision: z.number().int(),
  waitMs: z.number().int().min(0).max(5_000),
  tallies: z.array(versionTallySchema).max(2_000),
  rolloutAges: z.array(rolloutAgeSchema).max(500),
});

/** Parameters of `routing.watch`. */
export type WatchRoutingParams = Readonly<z.infer<typeof watchRoutingParams>>;

/** The routing state as a quorum confirmed it after the call arrived. */
export interface RoutingAnswer {
  readonly revision: number;
  /** Internal address of the leader, empty when none is known. */
  readonly leader: string;
  /** Internal addresses of the control hosts. */
  readonly controlHosts: readonly string[];
  /** Gateways that this host has lately heard of. */
  readonly gatewayCount: number;
  /** Absent when the caller's revision is the newest. */
  readonly update?: {
    readonly config: RoutingConfig | null;
    readonly rollouts: readonly ServiceRollout[];
    readonly retired: readonly RetiredVersion[];
  };
}

/** Parameters of `registry.watch`. */
export const watchRegistryParams = z.strictObject({
  /** Id of the control process whose revision is given; empty at first. */
  bootId: z.string(),
  revision: z.number().int(),
  waitMs: z.number().int().min(0).max(5_000),
});

/** Parameters of `registry.watch`. */
export type WatchRegistryParams = Readonly<z.infer<typeof watchRegistryParams>>;

/** The records of one control host that changed since the caller's revision. */
export interface RegistryAnswer {
  readonly bootId: string;
  readonly revision: number;
  /** True when the records are all there are, not a change to those sent before. */
  readonly isWhole: boolean;
  readonly records: readonly EndpointRecord[];
}

/** Parameters of `registry.share`, one endpoint's news from another control host. */
export const shareReportParams = z.strictObject({
  report: z.custom<EndpointRecord['report']>((value) => typeof value === 'object'),
  hasLeft: z.boolean(),
});
