import type { Organisation, Task } from '../inventory';
import type { ForwardedHeaders } from '../shared';

/** A request as the caller API hands it over. */
export interface RunRequest {
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly task: Task;
  /** Model's name or `auto`; absent for a plain service. */
  readonly model?: string;
  readonly service?: string;
  readonly session?: string;
  readonly key?: string;
  readonly idempotent: boolean;
  /** The answer is stored with the settlement, for retries or a later fetch. */
  readonly keepsAnswer: boolean;
  /** The answer is read to its end before its head is given, so that a cut one can be repeated. */
  readonly isWhole: boolean;
  /** The ledger holds the request already: it was deferred. */
  readonly isDeferred: boolean;
  /** The first attempt's number; greater than 0 when a deferred request is run again. */
  readonly firstAttempt: number;
  readonly method: string;
  readonly path: string;
  readonly headers: ForwardedHeaders;
  readonly body: Buffer;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
}

/** An answer under way: its head, and its pieces in order. */
export interface RunAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly headers: ForwardedHeaders;
  readonly model: string;
  readonly version: string;
  readonly pieces: AsyncGenerator<Buffer>;
}

/** An answer that was read to its end. */
export interface BufferedAnswer extends Omit<RunAnswer, 'pieces'> {
  readonly body: Buffer;
}
