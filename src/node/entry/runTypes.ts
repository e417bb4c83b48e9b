import type { Organisation, Task } from '../inventory';

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
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly signal: AbortSignal;
}

/** An answer under way: its head, and its pieces in order. */
export interface RunAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly model: string;
  readonly version: string;
  readonly pieces: AsyncGenerator<Buffer>;
}
