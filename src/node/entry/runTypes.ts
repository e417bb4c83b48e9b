import type { Organisation, Task } from '../inventory';
import type { ForwardedHeaders } from '../shared';

/** A request as the caller API passes it to the runner. */
export interface RunRequest {
  readonly requestId: string;
  readonly organisation: Organisation;
  readonly task: Task;
  /** Model name or `auto`. Absent for a plain service. */
  readonly model?: string;
  readonly service?: string;
  readonly session?: string;
  readonly key?: string;
  readonly idempotent: boolean;
  /** Whether the answer is stored with the settlement, for retries or a later fetch. */
  readonly keepsAnswer: boolean;
  /** Whether the whole answer is read before its head is sent, so that a broken one is retried. */
  readonly isBuffered: boolean;
  /** Whether the request was deferred and is already in the ledger. */
  readonly isDeferred: boolean;
  /** Number of the first attempt. Greater than 0 if a deferred request runs again. */
  readonly firstAttempt: number;
  readonly method: string;
  readonly path: string;
  readonly headers: ForwardedHeaders;
  readonly body: Buffer;
  /** Aborted when the caller disconnects or the answer takes too long. */
  readonly signal: AbortSignal;
}

/** An answer in progress: its head, and its chunks in order. */
export interface RunAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly headers: ForwardedHeaders;
  readonly model: string;
  readonly version: string;
  readonly chunks: AsyncGenerator<Buffer>;
}

/** An answer that was read to its end. */
export interface BufferedAnswer extends Omit<RunAnswer, 'chunks'> {
  readonly body: Buffer;
}
