import { performance } from 'node:perf_hooks';
import { Left, Right, type Either } from 'purify-ts';
import { convertToRouterError, createError, type RouterError } from '../errors';
import type { Logger } from '../log';
import { applyConfigChanges, type RoutingConfig } from '../routing';
import {
  decodeConfigChanges,
  MAX_PIECE_BYTES,
  type ConfigId,
  type ConfigPiece,
  type FetchConfigParams,
} from '../routingControl';
import type { RpcClient } from '../rpc';
import { callWithHedges, type HedgedAnswer } from './hedgedCall';

/** A configuration that a gateway holds, with its id. */
export interface HeldConfig {
  readonly id: ConfigId;
  readonly config: RoutingConfig;
}

/** Fetches configurations from control hosts. */
export interface ConfigFetch {
  /**
   * Fetches what leads from the held configuration to the wanted one, piece by piece. After a
   * failure, the next call for the same configuration goes on where this one stopped.
   */
  readonly fetch: (
    hosts: readonly string[],
    wanted: ConfigId,
    held: HeldConfig | undefined,
  ) => Promise<Either<RouterError, HeldConfig>>;
}

/** Options of a configuration fetch. */
export interface ConfigFetchOptions {
  readonly rpc: Pick<RpcClient, 'call'>;
  readonly log: Logger;
}

/** Pieces received so far of one transfer. */
interface Transfer {
  readonly held: string;
  readonly wanted: string;
  readonly startedAt: number;
  id: string;
  from: string;
  received: readonly Buffer[];
  receivedBytes: number;
  /** Pieces that arrived, including those of other ids. */
  pieces: number;
}

const PIECE_TIMEOUT_MS = 2_000;
/** Silence after which the piece is requested from another control host as well. */
const HEDGE_DELAY_MS = 700;
/** Failures halve the size of the next piece, so that it can arrive over a slow link in time. */
const MIN_PIECE_BYTES = 4 * 1024;
const FIRST_PIECE_BYTES = 32 * 1024;
const STEP = 'gateway.config';

const createTransfer = (held: string, wanted: string): Transfer => ({
  held,
  wanted,
  startedAt: performance.now(),
  id: '',
  from: '',
  received: [],
  receivedBytes: 0,
  pieces: 0,
});

/** Appends a piece. Fails if it does not belong at this place. */
const appendPiece = (transfer: Transfer, piece: ConfigPiece): Either<RouterError, Transfer> => {
  const data = Buffer.from(piece.data, 'base64');
  const isFirst = piece.offset === 0;
  const isNext = piece.id === transfer.id && piece.offset === transfer.receivedBytes;
  if (data.length === 0 || (!isFirst && !isNext)) {
    const message = `received ${data.length} bytes at ${piece.offset} of ${piece.bytes}`;
    return Left(createError({ type: 'peer_failed', message, step: STEP }));
  }
  const before = isFirst ? [] : transfer.received;
  return Right({
    ...transfer,
    id: piece.id,
    from: piece.from,
    received: [...before, data],
    receivedBytes: piece.offset + data.length,
    pieces: transfer.pieces + 1,
  });
};

const resolveConfig = async (
  { from, received }: Transfer,
  wanted: ConfigId,
  held: HeldConfig | undefined,
): Promise<HeldConfig> => {
  const changes = await decodeConfigChanges(Buffer.concat(received));
  const base = from === '' ? undefined : held?.config;
  return { id: wanted, config: applyConfigChanges(base, changes) };
};

/** Creates a configuration fetch. It fetches one configuration at a time. */
export const createConfigFetch = ({ rpc, log }: ConfigFetchOptions): ConfigFetch => {
  let transfer = createTransfer('', '');
  let pieceBytes = FIRST_PIECE_BYTES;
  /** Set when changes did not apply; the next transfer is of the whole configuration. */
  let needsWhole = false;

  const callForPiece = (hosts: readonly string[]): Promise<HedgedAnswer<ConfigPiece>> => {
    const { held, wanted, id, receivedBytes: offset } = transfer;
    const params: FetchConfigParams = { held, wanted, id, offset, maxBytes: pieceBytes };
    return callWithHedges({
      hosts,
      firstDelayMs: HEDGE_DELAY_MS,
      nextDelayMs: HEDGE_DELAY_MS,
      call: (host, { signal }) =>
        rpc.call<ConfigPiece>(host, 'routing.config', params, {
          timeoutMs: PIECE_TIMEOUT_MS,
          signal,
        }),
    });
  };

  const appendAnswer = ({ value }: { readonly value: ConfigPiece }) => appendPiece(transfer, value);

  const fetchPieces = async (hosts: readonly string[]): Promise<Either<RouterError, void>> => {
    let order = hosts;
    for (;;) {
      const answer = await callForPiece(order);
      const next = answer.chain(appendAnswer);
      if (next.isLeft()) {
        pieceBytes = Math.max(MIN_PIECE_BYTES, pieceBytes / 2);
        return next.map(() => undefined);
      }
      transfer = next.unsafeCoerce();
      const { host, value } = answer.unsafeCoerce();
      if (transfer.receivedBytes >= value.bytes) return Right(undefined);
      pieceBytes = Math.min(MAX_PIECE_BYTES, pieceBytes * 2);
      order = [host, ...hosts.filter((other) => other !== host)];
    }
  };

  return {
    fetch: async (hosts, wanted, held) => {
      const heldDigest = needsWhole ? '' : (held?.id.digest ?? '');
      if (transfer.held !== heldDigest || transfer.wanted !== wanted.digest) {
        transfer = createTransfer(heldDigest, wanted.digest);
      }
      const fetched = await fetchPieces(hosts);
      const { from, receivedBytes: bytes, pieces, startedAt } = transfer;
      const facts = {
        version: wanted.version,
        from: from === '' ? 0 : held?.id.version,
        bytes,
        pieces,
        ms: Math.round(performance.now() - startedAt),
      };
      if (fetched.isLeft()) {
        fetched.ifLeft(({ message }) =>
          log.info({ ...facts, err: message }, 'fetch of the configuration interrupted'),
        );
        return fetched.map(() => held!);
      }
      const complete = transfer;
      transfer = createTransfer('', '');
      try {
        const config = await resolveConfig(complete, wanted, held);
        needsWhole = false;
        log.info(facts, 'configuration fetched');
        return Right(config);
      } catch (cause) {
        needsWhole = true;
        const error = convertToRouterError(cause, STEP);
        log.error({ ...facts, err: error }, 'changes of the configuration do not apply');
        return Left(error);
      }
    },
  };
};
