import type { ListenAddress } from '../rpc';

/** Settled settings of a routing control host. */
export interface RoutingControlSettings {
  /** Name of this host, which is also its internal address `host:port`. */
  readonly node: string;
  /** Port of operators and endpoints. */
  readonly listen: ListenAddress;
  readonly internalListen: ListenAddress;
  readonly metricsListen: ListenAddress;
  /** Internal addresses of control hosts that are known at the start. */
  readonly peers: readonly string[];
  /** Whether this start may form the group: true only when the whole deployment starts anew. */
  readonly isFirstStart: boolean;
  /** Folder of the durable state. */
  readonly data: string;
  /** Shared by all processes of the deployment. */
  readonly secret: string;
  /** How often an endpoint reports, in milliseconds. */
  readonly reportIntervalMs: number;
}
