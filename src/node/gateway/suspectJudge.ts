import {
  chooseCulprits,
  findDeeperCulprit,
  judgeSuspect,
  type SuspicionVerdict,
} from '../decisions';
import type { Logger } from '../log';
import { formatSuspectKey } from '../routingControl';
import type { AttemptHistory } from './attemptHistory';
import type { SuspectTable } from './suspectTable';

/** Options of a suspect judge. */
export interface SuspectJudgeOptions {
  readonly suspects: SuspectTable;
  readonly history: AttemptHistory;
  readonly log: Logger;
  /** Returns the monotonic time in milliseconds. */
  readonly readNow: () => number;
}

/** Quarantines those of the given suspects that take endpoints down, by their keys. */
export type SuspectJudge = (keys: readonly string[]) => void;

/** Creates the judge of the suspects in a table. */
export const createSuspectJudge = (options: SuspectJudgeOptions): SuspectJudge => {
  const { suspects, history, log, readNow } = options;

  const listVerdicts = (keys: readonly string[]): readonly SuspicionVerdict[] =>
    keys.flatMap((key) => {
      const suspect = suspects.find(key);
      if (!suspect) return [];
      const quarantined = suspects.listQuarantined(suspect.service);
      const counts = history.countOthers(suspect.service, key, readNow());
      const verdict = judgeSuspect({ suspect, quarantined, ...counts });
      return verdict ? [verdict] : [];
    });

  const startQuarantine = ({ suspect, losses, needed, isAnswering }: SuspicionVerdict): void => {
    const { service, kind, id, answeredAt } = suspect;
    const key = formatSuspectKey(suspect);
    const counts = history.countOthers(service, key, readNow());
    const answeredAgeMs = answeredAt === undefined ? undefined : Math.round(readNow() - answeredAt);
    log.warn(
      { service, kind, id, losses, needed, isAnswering, ...counts, answeredAgeMs },
      'quarantine started: such requests take endpoints down',
    );
    suspects.update(key, { ...suspect, quarantine: { level: 1, since: readNow() } }, true);
  };

  const chooseDeeper = (verdict: SuspicionVerdict): SuspicionVerdict => {
    const { service, losses } = verdict.suspect;
    const ids = [...new Set(losses.flatMap(({ companions }) => companions))];
    const companions = ids
      .map((id) => suspects.find(formatSuspectKey({ service, kind: 'shared_block', id })))
      .filter((other) => other !== undefined);
    const suspect = findDeeperCulprit(verdict, companions);
    return suspect ? { ...verdict, suspect } : verdict;
  };

  // A quarantined suspect explains losses of others, so these are judged again after each round.
  return (keys) => {
    let verdicts = listVerdicts(keys);
    while (verdicts.length > 0) {
      chooseCulprits(verdicts).map(chooseDeeper).forEach(startQuarantine);
      verdicts = listVerdicts(keys);
    }
  };
};
