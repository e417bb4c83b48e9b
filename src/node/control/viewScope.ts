import type { Endpoint } from '../inventory';
import type { ViewEntry, ViewKind } from '../view';

/** What a node has to know: an agent needs neither organisations nor other endpoints. */
export interface ViewScope {
  readonly role: 'entry' | 'agent';
  /** The node's host; an agent gets the endpoints of its own host only. */
  readonly host: string;
}

const AGENT_KINDS: ReadonlySet<ViewKind> = new Set([
  'model',
  'service',
  'rules',
  'withdrawal',
  'endpoint',
]);

// An endpoint that moved to another host is a removal for the host it left.
const convertEndpointEntry = (entry: ViewEntry, host: string): ViewEntry => {
  const endpoint = entry.value as Endpoint | undefined;
  if (endpoint === undefined || endpoint.host === host) return entry;
  return { ...entry, value: undefined };
};

/** Cuts a list of entries down to what a node has to know. */
export const listEntriesInScope = (
  entries: readonly ViewEntry[],
  scope: ViewScope,
): readonly ViewEntry[] => {
  if (scope.role === 'entry') return entries;
  return entries
    .filter((entry) => AGENT_KINDS.has(entry.kind))
    .map((entry) => (entry.kind === 'endpoint' ? convertEndpointEntry(entry, scope.host) : entry));
};
