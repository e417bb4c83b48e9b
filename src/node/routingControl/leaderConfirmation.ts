import { LEADER_CONFIRMED_MS } from '../decisions';
import { convertToRouterError } from '../errors';
import type { Logger } from '../log';
import type { Replica } from '../replication';

/** A quorum's recent confirmation that this host leads. */
export interface ConfirmedTerm {
  readonly term: number;
}

/** Knows whether a quorum has confirmed lately that this host leads. */
export interface LeaderConfirmation {
  /**
   * Returns the term in which this host leads, if a quorum has confirmed it lately, and asks the
   * quorum again if that was some time ago.
   */
  readonly read: () => ConfirmedTerm | undefined;
}

/** Options of a leader confirmation. */
export interface LeaderConfirmationOptions<Reading> {
  readonly replica: Pick<Replica<never, unknown>, 'status' | 'confirmRead'>;
  readonly log: Logger;
  readonly readClocks: () => Reading;
  /** Returns the milliseconds since a reading, even if the host was suspended in between. */
  readonly computeElapsedMs: (reading: Reading) => number;
}

/** A confirmation older than this is renewed when it is read, in milliseconds. */
const RENEW_MS = 100;

/**
 * Creates a leader confirmation. It asks the quorum only when it is read, so a host without cold
 * endpoints does not ask. Its age counts from the time at which the quorum was asked.
 */
export const createLeaderConfirmation = <Reading>(
  options: LeaderConfirmationOptions<Reading>,
): LeaderConfirmation => {
  const { replica, log, readClocks, computeElapsedMs } = options;
  let confirmed: { readonly term: number; readonly askedAt: Reading } | undefined;
  let isAsking = false;

  const readLedTerm = (): number | undefined => {
    const { role, term } = replica.status();
    return role === 'leader' ? term : undefined;
  };

  const confirm = async (): Promise<void> => {
    const askedAt = readClocks();
    const term = readLedTerm();
    const answer = await replica.confirmRead();
    answer.ifRight((point) => {
      // A host that has lost the lead meanwhile got its answer from the new leader.
      if (point.term === term && readLedTerm() === term) confirmed = { term, askedAt };
    });
  };

  const startConfirm = (): void => {
    isAsking = true;
    confirm()
      .catch((cause: unknown) => {
        const err = convertToRouterError(cause, 'gateway.exchange');
        log.warn({ err }, 'confirmation of the leader failed');
      })
      .finally(() => {
        isAsking = false;
      });
  };

  return {
    read: () => {
      const term = readLedTerm();
      if (term === undefined) return undefined;
      const ageMs = confirmed?.term === term ? computeElapsedMs(confirmed.askedAt) : Infinity;
      if (ageMs > RENEW_MS && !isAsking) startConfirm();
      return ageMs < LEADER_CONFIRMED_MS ? { term } : undefined;
    },
  };
};
