import { countIndependentLosses, isForgotten, type Suspect } from '../decisions';
import type { Logger } from '../log';
import { formatSuspectKey } from '../routingControl';
import type { GatewayMetrics } from './gatewayMetrics';

/** The suspects that a gateway knows, by key, and which of them the others must hear of. */
export interface SuspectTable {
  readonly find: (key: string) => Suspect | undefined;
  readonly count: () => number;
  /** Replaces a record; `isNews` says whether the other gateways may not know it. */
  readonly update: (key: string, next: Suspect, isNews: boolean) => void;
  readonly listQuarantined: (service: string) => readonly Suspect[];
  /** Takes the records that are to be sent next. */
  readonly drainUnsent: () => readonly Suspect[];
  /** Puts drained records back that could not be sent. */
  readonly restoreUnsent: (records: readonly Suspect[]) => void;
  /** Marks everything that is shared as unsent, for a directory that has been told nothing. */
  readonly resendAll: () => void;
  /** Removes records without news. `now` is monotonic time in milliseconds. */
  readonly expire: (now: number) => void;
}

/** With more records than this, the ones that changed least recently are dropped. */
const MAX_SUSPECTS = 2_000;
/** Maximum number of records in one report; the rest follows with the next call. */
const MAX_REPORT = 100;
/** Losses of a suspect that was answered before, from which on the other gateways hear of it. */
const MIN_SHARED_LOSSES = 2;

// The other gateways hear of a suspect that was answered before only if it may be quarantined, since
// many popular blocks are lost when endpoints fail.
const canShare = (suspect: Suspect): boolean => {
  const { kind, answeredAt, quarantine } = suspect;
  if (kind === 'own_block') return false;
  if (answeredAt === undefined || quarantine) return true;
  return countIndependentLosses(suspect, []) >= MIN_SHARED_LOSSES;
};

/** Creates an empty table. */
export const createSuspectTable = (
  log: Logger,
  metrics: Pick<GatewayMetrics, 'blocksQuarantined' | 'requestsQuarantined'>,
): SuspectTable => {
  const suspects = new Map<string, Suspect>();
  const quarantinedKeys = new Set<string>();
  const unsentKeys = new Set<string>();

  const recordCounts = (): void => {
    const kinds = [...quarantinedKeys].map((key) => suspects.get(key)!.kind);
    const requests = kinds.filter((kind) => kind === 'request').length;
    metrics.requestsQuarantined.set(requests);
    metrics.blocksQuarantined.set(kinds.length - requests);
  };

  const remove = (key: string): void => {
    suspects.delete(key);
    [quarantinedKeys, unsentKeys].forEach((keys) => keys.delete(key));
    recordCounts();
  };

  const removeOldest = (): void => {
    const isRemovable = (key: string): boolean => !quarantinedKeys.has(key);
    const keys = [...suspects.keys()];
    remove(keys.find(isRemovable) ?? keys[0]!);
  };

  const logLifted = ({ service, kind, id, quarantine }: Suspect): void =>
    log.info({ service, kind, id, level: quarantine?.level }, 'quarantine lifted');

  const update: SuspectTable['update'] = (key, next, isNews) => {
    const before = suspects.get(key);
    // Deleting the record first moves it to the end, so the first one has changed least recently.
    suspects.delete(key);
    suspects.set(key, next);
    if (next.quarantine) quarantinedKeys.add(key);
    else if (quarantinedKeys.delete(key) && before) logLifted(before);
    recordCounts();
    const wasShared = before !== undefined && canShare(before);
    if (isNews && (wasShared || canShare(next))) unsentKeys.add(key);
    if (suspects.size > MAX_SUSPECTS) removeOldest();
  };

  return {
    find: (key) => suspects.get(key),
    count: () => suspects.size,
    update,
    listQuarantined: (service) =>
      [...quarantinedKeys]
        .map((key) => suspects.get(key)!)
        .filter((suspect) => suspect.service === service),
    drainUnsent: () => {
      const keys = [...unsentKeys].slice(0, MAX_REPORT);
      keys.forEach((key) => unsentKeys.delete(key));
      return keys.map((key) => suspects.get(key)!);
    },
    restoreUnsent: (records) =>
      records
        .map(formatSuspectKey)
        .filter((key) => suspects.has(key))
        .forEach((key) => unsentKeys.add(key)),
    resendAll: () =>
      suspects.forEach((suspect, key) => {
        if (canShare(suspect)) unsentKeys.add(key);
      }),
    expire: (now) =>
      suspects.forEach((suspect, key) => {
        if (isForgotten(suspect, now)) remove(key);
      }),
  };
};
