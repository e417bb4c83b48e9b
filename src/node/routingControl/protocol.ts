import { z } from 'zod';
import type { EndpointRecord } from '../registry';
import type { RoutingConfig, ServiceRollout } from '../routing';
import type { ConfigId } from './configArchive';
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
  /** Whether the caller fetches configurations with `routing.config`; absent in older gateways. */
  fetchesConfig: z.boolean().optional(),
});

/** Parameters of `routing.watch`. */
export type WatchRoutingParams = Readonly<z.infer<typeof watchRoutingParams>>;

/** The routing state, in the answer to a caller that does not have the latest revision. */
export interface RoutingUpdate {
  /** Absent if the caller fetches configurations. */
  readonly config?: RoutingConfig | null;
  /** The configuration in force, null if there is none; absent in older versions. */
  readonly configId?: ConfigId | null;
  readonly rollouts: readonly ServiceRollout[];
  readonly retired: readonly RetiredVersion[];
  /** Zones whose endpoints get no requests; absent in older versions and where none may be. */
  readonly evacuatedZones?: readonly string[] | undefined;
}

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
  readonly update?: RoutingUpdate;
}

/** Maximum size of one piece of a configuration in bytes, before its encoding as text. */
export const MAX_PIECE_BYTES = 64 * 1024;

/** Schema of the parameters of `routing.config`. */
export const fetchConfigParams = z.strictObject({
  /** Digest of the configuration that the caller holds; empty if it holds none. */
  held: z.string().max(64),
  /** Digest of the configuration to send. */
  wanted: z.string().max(64),
  /** Id of the piece before; empty in the first call. */
  id: z.string().max(64),
  offset: z.number().int().min(0),
  maxBytes: z.number().int().min(1).max(MAX_PIECE_BYTES),
});

/** Parameters of `routing.config`. */
export type FetchConfigParams = Readonly<z.infer<typeof fetchConfigParams>>;

/** Result of `routing.config`: a piece of the encoded changes. */
export interface ConfigPiece {
  /** Identifies the encoded changes; pieces of different ids do not fit together. */
  readonly id: string;
  /**
   * Digest of the configuration to which the changes apply; empty if they are the whole
   * configuration, because this host does not hold the caller's.
   */
  readonly from: string;
  /** Size of all pieces together. */
  readonly bytes: number;
  /** Offset of this piece; 0 if the caller's id is not the one of this host. */
  readonly offset: number;
  /** Bytes of the piece in base64. */
  readonly data: string;
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
  /** The revision up to which the caller knows all changes, together with this answer. */
  readonly revision: number;
  /** Whether the records replace all that the caller knows of this host; else they are changes. */
  readonly isWhole: boolean;
  /** Whether further records follow in the next answer; absent in older versions. */
  readonly hasMore?: boolean;
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
