import type { Endpoint } from '../inventory';
import type { ViewEntry, ViewKind } from '../view';

/**
 * Part of the view that a node needs. An agent needs neither organisations nor endpoints of other
 * hosts.
 */
export interface ViewScope {
  readonly role: 'entry' | 'agent';
  /** Host of the node. An agent gets only the endpoints of its own host. */
  readonly host: string;
}

const AGENT_KINDS: ReadonlySet<ViewKind> = new Set([
  'model',
  'service',
  'rules',
  'withdrawal',
  'endpoint',
]);

// For its previous host, an endpoint that has moved to another host counts as removed.
const convertEndpointEntry = (entry: ViewEntry, host: string): ViewEntry => {
  const endpoint = entry.value as Endpoint | undefined;
  if (endpoint === undefined || endpoint.host === host) return entry;
  return { ...entry, value: undefined };
};

/** Returns the entries that are in the scope of a node. */
export const listEntriesInScope = (
  entries: readonly ViewEntry[],
  scope: ViewScope,
): readonly ViewEntry[] => {
  if (scope.role === 'entry') return entries;
  return entries
    .filter((entry) => AGENT_KINDS.has(entry.kind))
    .map((entry) => (entry.kind === 'endpoint' ? convertEndpointEntry(entry, scope.host) : entry));
};
