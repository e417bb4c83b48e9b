import { createError } from '../errors';
import type { LedgerClient } from '../ledger';
import type { RunRequest } from './runTypes';
import type { Binding } from './targetChoice';

const MAX_CACHED_BINDINGS = 10_000;
/** A cached binding is written again this often, so that the ledger keeps an active session. */
const REFRESH_INTERVAL_MS = 86_400_000;

interface CachedBinding extends Binding {
  readonly at: number;
}

/** Creates a function that binds a session through the ledger and caches the binding. */
export const createSessionBinder = (
  ledger: Pick<LedgerClient, 'propose'>,
  readTime: () => number,
): ((request: RunRequest, wanted: Binding) => Promise<Binding>) => {
  const cache = new Map<string, CachedBinding>();

  const addBinding = (name: string, { model, version }: Binding): Binding => {
    cache.delete(name);
    cache.set(name, { model, version, at: readTime() });
    if (cache.size > MAX_CACHED_BINDINGS) cache.delete(cache.keys().next().value!);
    return { model, version };
  };

  return async (request, { model, version }) => {
    const session = request.session!;
    const organisation = request.organisation.name;
    const name = `${organisation}\n${session}`;
    const known = cache.get(name);
    if (known && readTime() - known.at < REFRESH_INTERVAL_MS) return known;
    const at = readTime();
    const command = { type: 'bindSession', organisation, session, model, version, at } as const;
    const result = await ledger.propose(command);
    if (result.type === 'bound') return addBinding(name, result);
    const message = `the ledger did not bind the session: it replied '${result.type}'`;
    throw createError({ type: 'unavailable', message, step: 'entry.bind' });
  };
};
