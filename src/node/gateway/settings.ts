import type { ColdBounds } from '../decisions';
import type { ListenAddress } from '../rpc';

/** Limits that a deployment sets for its gateways. */
export interface GatewayBounds {
  /** Whether operators may evacuate zones; absent if not. */
  readonly canEvacuate?: boolean;
  /** How long a confirmed routing state stays valid, in milliseconds. */
  readonly leaseMs: number;
  /** Maximum time between the stop signal and the exit of the process, in milliseconds. */
  readonly graceMs: number;
  /** Retry budget per window: allowed retries per request, plus a constant number of retries. */
  readonly repeatRatio: number;
  readonly repeatSlack: number;
  readonly repeatWindowMs: number;
  /** Maximum share of the traffic for a version that is still being rolled out. */
  readonly exposureShare: number;
  /** Idle time after which a session ends, in milliseconds. */
  readonly sessionMs: number;
  /** Bounds on the requests to cold endpoints; absent if the deployment sets none. */
  readonly cold?: ColdBounds | undefined;
  /** Whether requests for engines get a priority; true if absent. */
  readonly hasEnginePriorities?: boolean;
  /** Whether the speeds of endpoints are learnt; they are taken as equal if absent. */
  readonly hasEndpointSpeeds?: boolean;
}

/** Resolved settings of a gateway. */
export interface GatewaySettings {
  readonly node: string;
  readonly zone: string;
  /** Address that accepts callers' requests. */
  readonly listen: ListenAddress;
  /** Address of the readiness check. */
  readonly readyListen: ListenAddress;
  /** Path of the readiness check. */
  readonly readyPath: string;
  readonly internalListen: ListenAddress;
  readonly metricsListen: ListenAddress;
  /** Internal addresses of the control hosts to contact first. */
  readonly controlHosts: readonly string[];
  /** Internal secret, shared by all processes of the deployment. */
  readonly secret: string;
  readonly bounds: GatewayBounds;
  /** Limit of the request and response bodies held in memory together, in bytes. */
  readonly bodyMemoryBytes: number;
}
