import type { ColdBounds } from '../decisions';
import type { ListenAddress } from '../rpc';

/** Resolved settings of a routing control host. */
export interface RoutingControlSettings {
  /** Name of this host and also its internal address, as `host:port`. */
  readonly node: string;
  /** Listen address for operators and endpoints. */
  readonly listen: ListenAddress;
  readonly internalListen: ListenAddress;
  readonly metricsListen: ListenAddress;
  /** Internal addresses of the control hosts known at startup. */
  readonly peers: readonly string[];
  /**
   * Whether this host may form a new group. True only when the whole deployment starts for the
   * first time.
   */
  readonly isFirstStart: boolean;
  /** Data directory for the durable state. */
  readonly data: string;
  /** Secret shared by all processes of the deployment. */
  readonly secret: string;
  /** Interval between two reports of an endpoint, in milliseconds. */
  readonly reportIntervalMs: number;
  /** Present if operators may evacuate zones; the zones that are known without reports. */
  readonly evacuation?: { readonly zones: readonly string[] };
  /** Bounds on the requests to cold endpoints; absent if the deployment sets none. */
  readonly coldBounds?: ColdBounds | undefined;
}
