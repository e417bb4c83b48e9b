import { isOwnerGone, formatScopedName, type Claim, type Tables } from './tables';
import { KEY_RETENTION_MS } from './retention';
import type { LedgerResult, RequestRecord } from './types';

/** An idempotency key as one request presents it. */
export interface KeyClaim {
  readonly organisation: string;
  readonly key: string;
  readonly bodyHash: string;
  readonly requestId: string;
  readonly at: number;
}

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const HEX = 16;

// A key of this form carries its time, so that it can be told from a new one for ever.
const readKeyTime = (key: string): number | undefined => {
  const match = UUID_V7.exec(key);
  return match ? parseInt(`${match[1]}${match[2]}`, HEX) : undefined;
};

const isKeyExpired = (tables: Tables, key: string): boolean => {
  const time = readKeyTime(key);
  return time !== undefined && time < tables.now - KEY_RETENTION_MS;
};

const createKnownResult = (tables: Tables, record: RequestRecord): LedgerResult => ({
  type: 'known',
  record,
  isOwnerGone: isOwnerGone(tables, record.owner),
});

const checkKnownClaim = (tables: Tables, known: Claim, use: KeyClaim): LedgerResult | undefined => {
  if (known.bodyHash !== use.bodyHash) return { type: 'keyConflict' };
  const record = tables.requests.get(known.requestId);
  if (!record) return { type: 'keyExpired' };
  if (record.state === 'not_run' && record.requestId !== use.requestId) return undefined;
  return createKnownResult(tables, record);
};

/**
 * Takes a key for a request. Gives nothing when the key is free or its request is known not to
 * have run; otherwise what stands in the way.
 */
export const claimKey = (tables: Tables, use: KeyClaim): LedgerResult | undefined => {
  const name = formatScopedName(use.organisation, use.key);
  const known = tables.claims.get(name);
  if (!known && isKeyExpired(tables, use.key)) return { type: 'keyExpired' };
  const refusal = known && checkKnownClaim(tables, known, use);
  if (refusal) return refusal;
  const { bodyHash, requestId, at } = use;
  tables.claims.delete(name);
  tables.claims.set(name, { bodyHash, requestId, at });
  return undefined;
};
