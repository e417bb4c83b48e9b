import { z } from 'zod';
import type { EndpointRecord } from '../registry';
import type { RoutingConfig, ServiceRollout } from '../routing';
import type { RetiredVersion } from './routingState';

/** Schema of what a gateway has counted for one version on one route since it started. */
export const versionTallySchema = z.strictObject({
  service: z.string(),
  version: z.string(),
  /** Route and model. Answers of the same task are comparable. */
  task: z.string(),
  requests: z.number(),
  errors: z.number(),
  times: z.number(),
  logTimeSum: z.number(),
  logTimeSquares: z.number(),
});

/** What a gateway has counted for one version on one route since it started. */
export type VersionTally = Readonly<z.infer<typeof versionTallySchema>>;

/**
 * Schema of the time that a gateway has known of a roll-out. It survives a change of the leader.
 */
export const rolloutAgeSchema = z.strictObject({
  service: z.string(),
  target: z.string(),
  ageMs: z.number().min(0),
});

/** Time that a gateway has known of a roll-out. */
export type RolloutAge = Readonly<z.infer<typeof rolloutAgeSchema>>;

/** Schema of the parameters of `routing.watch`. */
export const watchRoutingParams = z.strictObject({
  gateway: z.string(),
  /** Random id of the gateway process. */
  bootId: z.string(),
  revision: z.number().int(),
  waitMs: z.number().int().min(0).max(5_000),
  tallies: z.array(versionTallySchema).max(2_000),
  rolloutAges: z.array(rolloutAgeSchema).max(500),
});

/** Parameters of `routing.watch`. */
export type WatchRoutingParams = Readonly<z.infer<typeof watchRoutingParams>>;

/** Result of `routing.watch`: the routing state, confirmed by a quorum after the call arrived. */
export interface RoutingAnswer {
  readonly revision: number;
  /** Internal address of the leader. Empty if none is known. */
  readonly leader: string;
  /** Internal addresses of the control hosts. */
  readonly controlHosts: readonly string[];
  /** Number of gateways that have called this host recently. */
  readonly gatewayCount: number;
  /** Time since the start of each roll-out, as far as this host knows; absent in older versions. */
  readonly rolloutAges?: readonly RolloutAge[];
  /** Absent if the caller has the latest revision. */
  readonly update?: {
    readonly config: RoutingConfig | null;
    readonly rollouts: readonly ServiceRollout[];
    readonly retired: readonly RetiredVersion[];
    /** Zones whose endpoints get no requests; absent in older versions and where none may be. */
    readonly evacuatedZones?: readonly string[];
  };
}

/** Maximum number of endpoints of which one gateway needs every report. */
export const MAX_FOLLOWED = 500;

/** Schema of the parameters of `registry.watch`. */
export const watchRegistryParams = z.strictObject({
  /** Id of the control process that issued `revision`. Empty in the first call. */
  bootId: z.string(),
  revision: z.number().int(),
  waitMs: z.number().int().min(0).max(5_000),
  /** Ids of endpoints of which the caller needs every report; absent in older gateways. */
  followed: z.array(z.string()).max(MAX_FOLLOWED).readonly().optional(),
});

/** Parameters of `registry.watch`. */
export type WatchRegistryParams = Readonly<z.infer<typeof watchRegistryParams>>;

/**
 * Result of `registry.watch`: the records of one control host that changed since the caller's
 * revision.
 */
export interface RegistryAnswer {
  readonly bootId: string;
  readonly revision: number;
  /** True if `records` is the complete registry, false if it holds only the changes. */
  readonly isWhole: boolean;
  readonly records: readonly EndpointRecord[];
}

/**
 * Schema of the parameters of `registry.share`: a change of one endpoint, sent by another control
 * host.
 */
export const shareReportParams = z.strictObject({
  report: z.custom<EndpointRecord['report']>((value) => typeof value === 'object'),
  hasLeft: z.boolean(),
});

/** Schema of the parameters of `registry.leave`. */
export const peerLeaveParams = z.strictObject({
  id: z.string(),
  /** Unix time of the endpoint's start in milliseconds; absent if the endpoint did not say it. */
  startedAt: z.number().optional(),
});

/** Parameters of `registry.leave`, which a control host calls that does not know the endpoint. */
export type PeerLeaveParams = Readonly<z.infer<typeof peerLeaveParams>>;

/** Result of `registry.leave`. */
export interface PeerLeaveAnswer {
  readonly wasKnown: boolean;
}
