import type { ListenAddress } from '../rpc';

/** Bounds that a deployment states for its gateways. */
export interface GatewayBounds {
  /** How long a confirmed routing state may be acted upon, in milliseconds. */
  readonly leaseMs: number;
  /** Time from the signal to stop to the end of the process at the latest, in milliseconds. */
  readonly graceMs: number;
  /** Repeated runs per request, and beyond that, in each window. */
  readonly repeatRatio: number;
  readonly repeatSlack: number;
  readonly repeatWindowMs: number;
  /** Share of the traffic that an unproved version may get. */
  readonly exposureShare: number;
  /** Requests of a session follow each other within this time, in milliseconds. */
  readonly sessionMs: number;
}

/** Settled settings of a gateway. */
export interface GatewaySettings {
  readonly node: string;
  readonly zone: string;
  /** Port of the callers. */
  readonly listen: ListenAddress;
  /** Port that says whether this gateway takes requests. */
  readonly readyListen: ListenAddress;
  /** Path of that answer. */
  readonly readyPath: string;
  readonly internalListen: ListenAddress;
  readonly metricsListen: ListenAddress;
  /** Internal addresses of control hosts that are known at the start. */
  readonly controlHosts: readonly string[];
  /** Shared by all processes of the deployment. */
  readonly secret: string;
  readonly bounds: GatewayBounds;
}
