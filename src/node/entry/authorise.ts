import { createHash } from 'node:crypto';
import { createError } from '../errors';
import type { Organisation } from '../inventory';
import type { View } from '../view';

/** Computes the hash that identifies an API key in the inventory. */
export const computeKeyHash = (key: string): string =>
  createHash('sha256').update(key).digest('hex');

/** Finds the organisation of a bearer key. The key itself is neither stored nor logged. */
export const findOrganisation = (view: View, authorization: string | undefined): Organisation => {
  const key = /^Bearer (\S+)$/.exec(authorization ?? '')?.[1];
  const hash = key === undefined ? '' : computeKeyHash(key);
  const found = view.list('organisation').find((item) => item.keyHashes.includes(hash));
  if (found) return found;
  throw createError({
    type: 'unauthenticated',
    message: 'the API key is missing or unknown',
    step: 'entry.authorise',
  });
};
