/**
 * What an endpoint's content type says about its body: `events` for an event stream, `other` for
 * something else, `unknown` if it is missing, malformed or contradicts itself.
 */
export type ContentKind = 'events' | 'other' | 'unknown';

/** The request and the head of a response to it. */
export interface ResponseContext {
  readonly method: string;
  readonly routeKind: 'once' | 'idempotent' | 'stream';
  readonly status: number;
  readonly contentKind: ContentKind;
}

/**
 * How a response is read: as `events`, as a `body`, or not at all because its endpoint says that it
 * is something else than the route answers (`mismatch`).
 */
export type ResponseForm = 'events' | 'body' | 'mismatch';

const OK = 200;

const FORMS_OF_STREAMS: Readonly<Record<ContentKind, ResponseForm>> = {
  events: 'events',
  unknown: 'events',
  other: 'mismatch',
};

const FORMS_OF_OTHERS: Readonly<Record<ContentKind, ResponseForm>> = {
  events: 'events',
  unknown: 'body',
  other: 'body',
};

/**
 * Chooses how a response is read. The route decides what a success is; the content type alone would
 * let a stream that broke off pass as a complete body.
 */
export const chooseResponseForm = ({
  method,
  routeKind,
  status,
  contentKind,
}: ResponseContext): ResponseForm => {
  if (status !== OK || method === 'HEAD') return 'body';
  return (routeKind === 'stream' ? FORMS_OF_STREAMS : FORMS_OF_OTHERS)[contentKind];
};
