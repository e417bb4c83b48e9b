import { hasOwnerEnded, formatScopedName, type Claim, type Tables } from './tables';
import { KEY_RETENTION_MS } from './retention';
import type { LedgerResult, RequestRecord } from './types';

/** The use of an idempotency key by one request. */
export interface KeyClaim {
  readonly organisation: string;
  readonly key: string;
  readonly bodyHash: string;
  readonly requestId: string;
  readonly at: number;
}

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const HEX_RADIX = 16;

// A UUID v7 contains its creation time, so an expired key is recognised even after its claim has
// been removed.
const readKeyTime = (key: string): number | undefined => {
  const match = UUID_V7.exec(key);
  return match ? parseInt(`${match[1]}${match[2]}`, HEX_RADIX) : undefined;
};

const isKeyExpired = (tables: Tables, key: string): boolean => {
  const time = readKeyTime(key);
  return time !== undefined && time < tables.now - KEY_RETENTION_MS;
};

const createKnownResult = (tables: Tables, record: RequestRecord): LedgerResult => ({
  type: 'known',
  record,
  isOwnerGone: hasOwnerEnded(tables, record.owner),
});

const checkKnownClaim = (tables: Tables, known: Claim, use: KeyClaim): LedgerResult | undefined => {
  if (known.bodyHash !== use.bodyHash) return { type: 'keyConflict' };
  const record = tables.requests.get(known.requestId);
  if (!record) return { type: 'keyExpired' };
  if (record.state === 'not_run' && record.requestId !== use.requestId) return undefined;
  return createKnownResult(tables, record);
};

/**
 * Claims a key for a request. Returns undefined if the key is free or if its earlier request is
 * known not to have run. Otherwise returns the reason why the key cannot be claimed.
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
