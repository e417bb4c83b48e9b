import type { Either } from 'purify-ts';
import type { EndpointReport } from '../registry';

/** Header names and values in turn, as they stood on the wire. */
export type RawHeaders = readonly string[];

/** One part of a prompt. Requests with the same parts at the beginning share the work of reading them. */
export interface PromptBlock {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller's headers say, decoded once. */
export interface CallerHeaders {
  /** Id of this attempt of the caller; empty when absent. */
  readonly requestId: string;
  readonly host: string;
  readonly apiKey: string | undefined;
  /** How long the caller waits, in milliseconds from its sending. */
  readonly deadlineMs: number | undefined;
  /** Model that the caller asks for. */
  readonly model: string | undefined;
  /** Tokens of the prompt and most tokens of the answer. */
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly promptBlocks: readonly PromptBlock[];
  readonly session: string | undefined;
  /** Last event that the caller has of a stream that broke. */
  readonly lastEventId: string | undefined;
  /** End-to-end headers that go on to the endpoint unchanged. */
  readonly forwarded: RawHeaders;
}

/** What the gateway adds to a request for one endpoint. */
export interface AttemptHeaders {
  readonly endpointId: string;
  readonly organisation: string | undefined;
  /** Time in milliseconds that the endpoint may take; absent when the caller gave none. */
  readonly deadlineMs: number | undefined;
  /** Model to name where the caller left the choice to the system. */
  readonly model: string | undefined;
  /** Event after which a stream goes on. */
  readonly lastEventId: string | undefined;
}

/** What the headers of an endpoint's answer say. */
export interface ResponseHeaders {
  /** Id of the request that the answer belongs to. */
  readonly requestId: string | undefined;
  /** Whether the endpoint states that it has not run the request and never will. */
  readonly isNotRun: boolean;
  readonly retryAfterMs: number | undefined;
  /** The model's own opinion of its answer, 0 to 100. */
  readonly confidence: number | undefined;
  readonly isEventStream: boolean;
  /** Whether only the end of the connection tells the end of the body. */
  readonly isCloseDelimited: boolean;
  /** Whether the body is encoded although the request asked for none. */
  readonly isEncoded: boolean;
  /** End-to-end headers that go back to the caller unchanged. */
  readonly forwarded: RawHeaders;
}

/** Translates between the gateway's terms and the header names of a deployment. */
export interface HeaderCodec {
  readonly decodeCaller: (raw: RawHeaders) => CallerHeaders;
  readonly encodeAttempt: (caller: CallerHeaders, attempt: AttemptHeaders) => RawHeaders;
  readonly decodeResponse: (status: number, raw: RawHeaders) => ResponseHeaders;
  /** Headers of the gateway's own answers. */
  readonly encodeRefusal: (requestId: string, retryAfterMs: number | undefined) => RawHeaders;
}

/** Head of an endpoint's answer. */
export interface ResponseHead extends ResponseHeaders {
  readonly status: number;
}

/** Why an attempt at an endpoint gave no whole answer. */
export interface AttemptFailure {
  /** Whether the endpoint may have begun to run the request. */
  readonly mayHaveRun: boolean;
  readonly reason: string;
}

/** One attempt at an endpoint, under way. */
export interface EndpointAttempt {
  readonly head: Promise<Either<AttemptFailure, ResponseHead>>;
  /** Pieces of the body; throws when the body breaks off. Only after `head` is there. */
  readonly readBody: () => AsyncIterable<Buffer>;
  /** Ends the attempt and its connection. */
  readonly cancel: () => void;
}

/** Where and how an attempt is made. */
export interface AttemptTarget {
  readonly endpoint: EndpointReport;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly connectTimeoutMs: number;
}
