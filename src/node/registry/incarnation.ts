import type { EndpointReport } from './types';

/** Formats the key of an endpoint's incarnation, which lasts until the endpoint starts again. */
export const formatIncarnation = ({
  id,
  startedAt,
}: Pick<EndpointReport, 'id' | 'startedAt'>): string => `${id}|${startedAt}`;
