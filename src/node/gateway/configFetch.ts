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
  readonly id: string;
  readonly from: string;
  readonly received: readonly Buffer[];
  readonly receivedBytes: number;
  /** Pieces that arrived, including those of other ids. */
  readonly pieces: number;
}

const PIECE_TIMEOUT_MS = 2_000;
/** Silence after which the piece is requested from another control host as well. */
const HEDGE_DELAY_MS = 700;
/**
 * A piece that takes longer, or fails, halves the size of the next one, so that pieces over a slow
 * link arrive before they are requested from another host as well.
 */
const SLOW_PIECE_MS = 200;
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

const formatFacts = (
  { from, receivedBytes, pieces, startedAt }: Transfer,
  wanted: ConfigId,
  held: HeldConfig | undefined,
) => ({
  version: wanted.version,
  from: from === '' ? 0 : held?.id.version,
  bytes: receivedBytes,
  pieces,
  ms: Math.round(performance.now() - startedAt),
});

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

  const updatePieceSize = (isSlow: boolean): void => {
    const next = isSlow ? pieceBytes / 2 : pieceBytes * 2;
    pieceBytes = Math.min(MAX_PIECE_BYTES, Math.max(MIN_PIECE_BYTES, next));
  };

  /** Fetches the next piece; returns the host that sent it, and whether it was the last one. */
  const fetchPiece = async (hosts: readonly string[]) => {
    const sentAt = performance.now();
    const answer = await callForPiece(hosts);
    const appended = answer.chain(({ host, value }) =>
      appendPiece(transfer, value).map((next) => {
        transfer = next;
        return { host, isLast: next.receivedBytes >= value.bytes };
      }),
    );
    updatePieceSize(appended.isLeft() || performance.now() - sentAt > SLOW_PIECE_MS);
    return appended;
  };

  const fetchPieces = async (hosts: readonly string[]): Promise<Either<RouterError, void>> => {
    let order = hosts;
    for (;;) {
      const fetched = await fetchPiece(order);
      if (fetched.isLeft()) return fetched.map(() => undefined);
      const { host, isLast } = fetched.unsafeCoerce();
      if (isLast) return Right(undefined);
      order = [host, ...hosts.filter((other) => other !== host)];
    }
  };

  const applyTransfer = async (
    complete: Transfer,
    wanted: ConfigId,
    held: HeldConfig | undefined,
  ): Promise<Either<RouterError, HeldConfig>> => {
    const facts = formatFacts(complete, wanted, held);
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
  };

  return {
    fetch: async (hosts, wanted, held) => {
      const heldDigest = needsWhole ? '' : (held?.id.digest ?? '');
      if (transfer.held !== heldDigest || transfer.wanted !== wanted.digest) {
        transfer = createTransfer(heldDigest, wanted.digest);
      }
      const fetched = await fetchPieces(hosts);
      return fetched.caseOf<Promise<Either<RouterError, HeldConfig>>>({
        Right: () => {
          const complete = transfer;
          transfer = createTransfer('', '');
          return applyTransfer(complete, wanted, held);
        },
        Left: async (error) => {
          const facts = formatFacts(transfer, wanted, held);
          log.info({ ...facts, err: error.message }, 'fetch of the configuration interrupted');
          return Left(error);
        },
      });
    },
  };
};
