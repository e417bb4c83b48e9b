import { createHash } from 'node:crypto';

/** What makes two requests the same, whatever their ids. */
export interface RequestIdentity {
  readonly method: string;
  /** Path and query string as the caller sent them. */
  readonly path: string;
  /** Name of the caller's organisation; undefined on a public route without a key. */
  readonly organisation: string | undefined;
  /** Id of the prompt's last block, if the prompt is described by headers. */
  readonly lastBlock: string | undefined;
  readonly body: Buffer;
}

/** 64 bits: a collision among the requests of one minute is unlikely. */
const FINGERPRINT_HEX_DIGITS = 16;

/** Computes the fingerprint by which a request is recognised when it comes again. */
export const computeFingerprint = (identity: RequestIdentity): string => {
  const { method, path, organisation, lastBlock, body } = identity;
  const head = JSON.stringify([method, path, organisation ?? null, lastBlock ?? null]);
  return createHash('sha256')
    .update(head)
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_HEX_DIGITS);
};
