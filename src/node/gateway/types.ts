import type { Either } from 'purify-ts';
import type { ContentKind } from '../decisions';
import type { EndpointReport } from '../registry';
import type { RoutedService } from '../routing';

/** Alternating header names and values, as received on the wire. */
export type RawHeaders = readonly string[];

/**
 * One block of a prompt. Requests whose prompts start with the same blocks can share their prefill.
 */
export interface PromptBlock {
  readonly id: string;
  readonly tokens: number;
}

/** The decoded headers of a caller's request. */
export interface CallerHeaders {
  /** Id of this attempt, set by the caller; empty when absent. */
  readonly requestId: string;
  readonly host: string;
  readonly apiKey: string | undefined;
  /** How long the caller waits for the response, in milliseconds after it sent the request. */
  readonly deadlineMs: number | undefined;
  /** Requested model. */
  readonly model: string | undefined;
  /** Number of prompt tokens, and the maximum number of answer tokens. */
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly promptBlocks: readonly PromptBlock[];
  readonly session: string | undefined;
  /** Id of the last event that the caller received before its stream was interrupted. */
  readonly lastEventId: string | undefined;
  /** End-to-end headers that are forwarded to the endpoint unchanged. */
  readonly forwarded: RawHeaders;
}

/** Values that the gateway adds to the headers of a request to an endpoint. */
export interface AttemptHeaders {
  readonly endpointId: string;
  readonly organisation: string | undefined;
  /** Time limit for the endpoint, in milliseconds; undefined when the caller sent no deadline. */
  readonly deadlineMs: number | undefined;
  /** Model that replaces the wildcard when the caller left the choice to the gateway. */
  readonly model: string | undefined;
  /** Id of the event after which the endpoint resumes the stream. */
  readonly lastEventId: string | undefined;
  /** Priority in the queue of an engine, 0 to 9, 0 first; undefined for other endpoints. */
  readonly priority?: number | undefined;
}

/** The decoded headers of an endpoint's response. */
export interface ResponseHeaders {
  /** Id of the request that the response belongs to. */
  readonly requestId: string | undefined;
  /** Whether the endpoint reports that it has not run the request and will not run it. */
  readonly isNotRun: boolean;
  readonly retryAfterMs: number | undefined;
  /** The model's confidence in its answer, 0 to 100. */
  readonly confidence: number | undefined;
  /** Requests per second that the endpoint takes from all gateways together; undefined if unlimited. */
  readonly requestsPerSecond: number | undefined;
  /** Whether the endpoint says that it is about to end. */
  readonly isLeaving: boolean;
  readonly contentKind: ContentKind;
  /** Whether the body is delimited only by the close of the connection. */
  readonly isCloseDelimited: boolean;
  /** Whether the body has a content or transfer encoding, although the request asked for none. */
  readonly isEncoded: boolean;
  /** End-to-end headers that are returned to the caller unchanged. */
  readonly forwarded: RawHeaders;
}

/** Converts between the gateway's types and the header names of a deployment. */
export interface HeaderCodec {
  readonly decodeCaller: (raw: RawHeaders) => CallerHeaders;
  readonly encodeAttempt: (caller: CallerHeaders, attempt: AttemptHeaders) => RawHeaders;
  readonly decodeResponse: (status: number, raw: RawHeaders) => ResponseHeaders;
  /** Encodes the headers of a response that the gateway itself creates. */
  readonly encodeRefusal: (requestId: string, retryAfterMs: number | undefined) => RawHeaders;
}

/** What a process says about itself; undefined where it does not say it. */
export interface ProcessIdentity {
  readonly id: string | undefined;
  /** Unix time of the start in milliseconds. */
  readonly startedAt: number | undefined;
  /** Whether the process says that it is not the endpoint that was asked. */
  readonly isOther: boolean;
}

/** Asks processes which endpoint they are, in the words of a deployment. */
export interface IdentityCodec {
  /** Encodes a GET request that every process of the service answers. */
  readonly encodeQuestion: (
    endpointId: string,
    service: RoutedService | undefined,
  ) => { readonly path: string; readonly headers: RawHeaders };
  readonly decodeIdentity: (status: number, raw: RawHeaders, body: string) => ProcessIdentity;
}

/** Status and decoded headers of an endpoint's response. */
export interface ResponseHead extends ResponseHeaders {
  readonly status: number;
}

/** Why an attempt returned no complete response. */
export interface AttemptFailure {
  /** Whether the endpoint may have begun to run the request. */
  readonly mayHaveRun: boolean;
  /** Whether the connection was closed or reset while the endpoint had the request. */
  readonly isConnectionLost: boolean;
  /** Whether the gateway itself did not send the request on the connection. */
  readonly isWithheld: boolean;
  readonly reason: string;
}

/** A running attempt at an endpoint. */
export interface EndpointAttempt {
  readonly head: Promise<Either<AttemptFailure, ResponseHead>>;
  /**
   * Iterates over the chunks of the body; throws if the body is truncated. Call it only after
   * `head` has resolved.
   */
  readonly readBody: () => AsyncIterable<Buffer>;
  /** Cancels the attempt and closes its connection. */
  readonly cancel: () => void;
}

/** The endpoint and the request of an attempt. */
export interface AttemptTarget {
  readonly endpoint: EndpointReport;
  readonly method: string;
  /** Path and query string as the caller sent them. */
  readonly path: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly connectTimeoutMs: number;
  /** Whether the request may still be sent; asked once the connection is established. */
  readonly canSend?: () => boolean;
}
