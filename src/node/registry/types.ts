/** Whether an endpoint takes new work. */
export type EndpointState = 'ready' | 'draining';

/** What an endpoint says of itself. */
export interface EndpointReport {
  /** Name that it mostly changes with each start. */
  readonly id: string;
  /** Unix time in milliseconds of its start, which tells its incarnations apart. */
  readonly startedAt: number;
  /** Count of its reports since it started. */
  readonly sequence: number;
  readonly service: string;
  /** IP address and port, `host:port`. */
  readonly address: string;
  readonly zone: string;
  /** Version of its software. */
  readonly version: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  readonly state: EndpointState;
  /** How much longer it is slow after its start, in milliseconds. */
  readonly warmupMs: number;
  /** Models that it has loaded. */
  readonly models: readonly string[];
}

/** What a control host holds of one endpoint. */
export interface EndpointRecord {
  readonly report: EndpointReport;
  /** `gone` once it has left or has been replaced; `silent` when no report came for long. */
  readonly state: EndpointState | 'gone' | 'silent';
  /** Steady time in milliseconds of the newest report, at the host that holds the record. */
  readonly heardAt: number;
}
