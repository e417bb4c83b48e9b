/** State reported by an endpoint; a draining endpoint gets no new work. */
export type EndpointState = 'ready' | 'draining';

/** A report of an endpoint about itself. */
export interface EndpointReport {
  /** Endpoint id, which usually changes with each start. */
  readonly id: string;
  /** Unix time of the start in milliseconds; identifies the incarnation. */
  readonly startedAt: number;
  /** Number of reports since the start. */
  readonly sequence: number;
  readonly service: string;
  /** IP address and port, `host:port`. */
  readonly address: string;
  readonly zone: string;
  /** Software version. */
  readonly version: string;
  /** Requests that the endpoint runs at once. */
  readonly slots: number;
  readonly state: EndpointState;
  /** Remaining warm-up time after the start, in milliseconds. */
  readonly warmupMs: number;
  /** Loaded models. */
  readonly models: readonly string[];
}

/** Record of one endpoint at a control host. */
export interface EndpointRecord {
  readonly report: EndpointReport;
  /** `gone` after the endpoint left or was replaced; `silent` after it stopped reporting. */
  readonly state: EndpointState | 'gone' | 'silent';
  /** Time of the newest report in milliseconds, on the monotonic clock of the record's host. */
  readonly heardAt: number;
  /** Whether reports are missing, so that the endpoint may be cold; absent in older versions. */
  readonly isOverdue?: boolean;
}
