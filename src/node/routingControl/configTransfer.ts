import { createHash } from 'node:crypto';
import { promisify } from 'node:util';
import { gunzip, gzip } from 'node:zlib';
import { createError } from '../errors';
import type { Logger } from '../log';
import { computeConfigChanges, type ConfigChanges } from '../routing';
import type { ConfigArchive } from './configArchive';
import type { ConfigPiece, FetchConfigParams } from './protocol';

/** Answers `routing.config`: sends the changes of configurations in pieces. */
export interface ConfigTransfer {
  /** Returns one piece, or fails with `not_found` if this host does not hold the configuration. */
  readonly readPiece: (params: FetchConfigParams) => Promise<ConfigPiece>;
}

/** Options of a configuration transfer. */
export interface ConfigTransferOptions {
  readonly archive: ConfigArchive;
  readonly log: Logger;
}

interface EncodedChanges {
  readonly id: string;
  readonly from: string;
  readonly data: Buffer;
}

/** Gateways that lag behind ask for other changes than the rest. */
const MAX_CACHED_CHANGES = 8;
const ID_CHARACTERS = 22;

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Encodes the changes between two configurations for a transfer. */
export const encodeConfigChanges = async (changes: ConfigChanges): Promise<Buffer> =>
  compress(JSON.stringify(changes));

/** Decodes the changes between two configurations. */
export const decodeConfigChanges = async (data: Uint8Array): Promise<ConfigChanges> =>
  JSON.parse((await decompress(data)).toString('utf8')) as ConfigChanges;

/** Creates a transfer. The encoded changes are cached, since most gateways ask for the same. */
export const createConfigTransfer = ({ archive, log }: ConfigTransferOptions): ConfigTransfer => {
  const cache = new Map<string, Promise<EncodedChanges>>();

  const encodeChanges = async (held: string, wanted: string): Promise<EncodedChanges> => {
    const before = archive.find(held);
    const after = archive.find(wanted);
    if (!after) {
      const message = `configuration '${wanted}' is not among the latest of this host`;
      throw createError({ type: 'not_found', message, step: 'routing.config' });
    }
    const changes = computeConfigChanges(before?.config, after.config);
    const data = await encodeConfigChanges(changes);
    const id = createHash('sha256').update(data).digest('base64url').slice(0, ID_CHARACTERS);
    const facts = { version: after.id.version, from: before?.id.version ?? 0, bytes: data.length };
    log.info(facts, 'changes of the configuration encoded');
    return { id, from: before?.id.digest ?? '', data };
  };

  const resolveChanges = (held: string, wanted: string): Promise<EncodedChanges> => {
    const key = `${held} ${wanted}`;
    const known = cache.get(key);
    if (known) return known;
    const created = encodeChanges(held, wanted);
    cache.set(key, created);
    created.catch(() => cache.delete(key));
    const [oldest] = cache.keys();
    if (cache.size > MAX_CACHED_CHANGES && oldest !== undefined) cache.delete(oldest);
    return created;
  };

  return {
    readPiece: async ({ held, wanted, id, offset, maxBytes }) => {
      const changes = await resolveChanges(held, wanted);
      // Another host may have encoded the same changes in another way.
      const start = id === changes.id ? offset : 0;
      const piece = changes.data.subarray(start, start + maxBytes);
      return {
        id: changes.id,
        from: changes.from,
        bytes: changes.data.length,
        offset: start,
        data: piece.toString('base64'),
      };
    },
  };
};
