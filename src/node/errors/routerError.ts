/** Whether the work of a failed request did not run, may have run (`unknown`), or ran. */
export type Outcome = 'not_run' | 'unknown' | 'ran';

/** The types of errors. `ERROR_STATUS` maps each to its HTTP status. */
export type ErrorType =
  | 'invalid_request'
  | 'unauthenticated'
  | 'not_allowed'
  | 'not_found'
  | 'conflict'
  | 'too_large'
  | 'timeout'
  | 'over_cap'
  | 'overloaded'
  | 'version_withdrawn'
  | 'stale_revision'
  | 'unavailable'
  | 'peer_failed'
  | 'cancelled'
  | 'internal';

/** HTTP status per error type. */
export const ERROR_STATUS: Readonly<Record<ErrorType, number>> = {
  invalid_request: 400,
  unauthenticated: 401,
  not_allowed: 403,
  not_found: 404,
  timeout: 408,
  conflict: 409,
  version_withdrawn: 410,
  stale_revision: 409,
  too_large: 413,
  over_cap: 429,
  cancelled: 499,
  internal: 500,
  peer_failed: 502,
  overloaded: 503,
  unavailable: 503,
};

/** The fields of a router error. */
export interface RouterErrorFields {
  readonly type: ErrorType;
  readonly message: string;
  readonly step: string;
  readonly peer?: string;
  readonly outcome?: Outcome;
  readonly retryAfterSeconds?: number;
  readonly data?: unknown;
}

/** The wire form of an error, the same on every port. */
export interface ErrorBody {
  readonly error: {
    readonly type: ErrorType;
    readonly message: string;
    readonly step: string;
    readonly peer: string;
    readonly outcome: Outcome;
    readonly request_id: string;
  };
}

/** The error class of the system. Holds the step and peer where the error arose and the outcome. */
export class RouterError extends Error {
  readonly type: ErrorType;

  readonly step: string;

  readonly peer: string;

  readonly outcome: Outcome;

  readonly retryAfterSeconds: number | undefined;

  readonly data: unknown;

  constructor(fields: RouterErrorFields) {
    super(fields.message);
    this.name = 'RouterError';
    this.type = fields.type;
    this.step = fields.step;
    this.peer = fields.peer ?? '';
    this.outcome = fields.outcome ?? 'not_run';
    this.retryAfterSeconds = fields.retryAfterSeconds;
    this.data = fields.data;
  }
}

/** Creates a router error. */
export const createError = (fields: RouterErrorFields): RouterError => new RouterError(fields);

/** Converts any thrown value to a router error; `outcome` is what is known at this step. */
export const convertToRouterError = (
  cause: unknown,
  step: string,
  peer = '',
  outcome: Outcome = 'unknown',
): RouterError => {
  if (cause instanceof RouterError) return cause;
  const message = cause instanceof Error ? cause.message : String(cause);
  return createError({ type: 'internal', message, step, peer, outcome });
};

/** Formats an error for the wire. */
export const formatErrorBody = (error: RouterError, requestId: string): ErrorBody => ({
  error: {
    type: error.type,
    message: error.message,
    step: error.step,
    peer: error.peer,
    outcome: error.outcome,
    request_id: requestId,
  },
});
