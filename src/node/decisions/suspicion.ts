// Load pattern: one request that comes again and again, or requests with one prompt block, a few a
// second and at any gateway, crash each endpoint that begins to answer them. Each crash also cuts the
// sound requests at that endpoint, which share the API key and other blocks. Besides, endpoints and
// connections fail by themselves, one by one or many at once.

/** An attempt that ended with its connection before the endpoint had proven to survive it. */
export interface EndpointLoss {
  /** Incarnation of the endpoint; each one can crash only once. */
  readonly incarnation: string;
  /** Monotonic times in milliseconds at which the attempt started and ended. */
  readonly startedAt: number;
  readonly lostAt: number;
  /** Whether the response had begun: its head had arrived, but no more than one event. */
  readonly isAnswering: boolean;
  /** Other shared blocks of the prompts that were lost with the incarnation. */
  readonly companions: readonly string[];
  /** Fingerprints of the requests that were lost with the suspect and the incarnation. */
  readonly requests: readonly string[];
}

/** A suspect that is refused, but for one probe each time that the hold has passed. */
export interface Quarantine {
  /** Number of probes granted so far, plus one. */
  readonly level: number;
  /** Monotonic time in milliseconds of the latest probe, or of the start. */
  readonly since: number;
}

/**
 * What may take endpoints down: a prompt block that many requests share, the last block of a
 * prompt, which belongs to one request or session, or a whole request, by its fingerprint.
 */
export type SuspectKind = 'shared_block' | 'own_block' | 'request';

/** What is known about a prompt block or a request that was lost. */
export interface Suspect {
  readonly service: string;
  readonly kind: SuspectKind;
  readonly id: string;
  /** Position in the prompt; blocks that come later are in fewer requests. 0 for a request. */
  readonly depth: number;
  /** Losses since the latest answer, the oldest first. */
  readonly losses: readonly EndpointLoss[];
  /** Monotonic time in milliseconds of the latest answer to such a request. */
  readonly answeredAt: number | undefined;
  readonly quarantine: Quarantine | undefined;
}

/** Input for the decision whether a suspect is quarantined. */
export interface SuspicionInput {
  readonly suspect: Suspect;
  /** The other quarantined suspects of the service. */
  readonly quarantined: readonly Suspect[];
  /** Recent attempts of this gateway without the suspect. */
  readonly otherAttempts: number;
  /** How many of them were lost, and were lost when their response had begun. */
  readonly otherLosses: number;
  readonly otherAnsweringLosses: number;
}

/** Losses within this time have a common cause, such as a failed rack or link; in milliseconds. */
const COINCIDENCE_MS = 100;
/** Probability of as many losses in a row at which chance no longer explains them. */
const MAX_CHANCE = 0.003;
/** Fewest losses that count, and fewest of them whose response had begun. */
const MIN_LOSSES = 3;
const MIN_ANSWERING_LOSSES = 2;
const MAX_LOSSES = 12;
/**
 * Losses after which a whole request is stopped even while many others are lost: if it is sound,
 * only its own caller has to wait for a probe.
 */
const MAX_REQUEST_LOSSES = 3;
/** Further losses needed against a suspect that was answered before. */
const ANSWERED_EXTRA_LOSSES = 1;
/** Blocks of the same prompt that are kept with each loss of a block. */
export const MAX_COMPANIONS = 16;
/** Requests that are kept with each loss of a suspect. */
const MAX_LOST_REQUESTS = 8;
/** Lower bound of the share of attempts that are lost for other reasons. */
const MIN_LOSS_SHARE = 0.02;
/** Weight of the prior estimate of that share, in attempts. */
const PRIOR_ATTEMPTS = 20;
/** An answer is remembered this long, in milliseconds: what a request does may change with a version. */
export const ANSWER_MEMORY_MS = 60_000;
/** Losses and quarantines without news are forgotten after this time, in milliseconds. */
const LOSS_MEMORY_MS = 60_000;
/** A sound suspect is free again after this time, if such a request comes. */
const FIRST_HOLD_MS = 3_000;
const HOLD_FACTOR = 10;
/** A probe that confirms the suspicion costs an endpoint, so later ones are rare. */
const MAX_HOLD_MS = 300_000;

/** Creates the record of a suspect without losses. */
export const createSuspect = (
  identity: Pick<Suspect, 'service' | 'kind' | 'id' | 'depth'>,
): Suspect => ({
  ...identity,
  losses: [],
  answeredAt: undefined,
  quarantine: undefined,
});

const removeAnswered = (suspect: Suspect): Suspect => {
  const { answeredAt, losses, quarantine } = suspect;
  if (answeredAt === undefined) return suspect;
  return {
    ...suspect,
    losses: losses.filter(({ lostAt }) => lostAt > answeredAt),
    quarantine: quarantine && quarantine.since > answeredAt ? quarantine : undefined,
  };
};

const mergeLoss = (a: EndpointLoss, b: EndpointLoss | undefined): EndpointLoss =>
  b === undefined
    ? a
    : {
        ...a,
        isAnswering: a.isAnswering || b.isAnswering,
        companions: [...new Set([...a.companions, ...b.companions])].slice(0, MAX_COMPANIONS),
        requests: [...new Set([...a.requests, ...b.requests])].slice(0, MAX_LOST_REQUESTS),
      };

const mergeLosses = (
  a: readonly EndpointLoss[],
  b: readonly EndpointLoss[],
): readonly EndpointLoss[] => {
  const byIncarnation = new Map(b.map((loss) => [loss.incarnation, loss]));
  a.forEach((loss) =>
    byIncarnation.set(loss.incarnation, mergeLoss(loss, byIncarnation.get(loss.incarnation))),
  );
  return [...byIncarnation.values()]
    .sort((first, second) => first.lostAt - second.lostAt)
    .slice(-MAX_LOSSES);
};

const findMax = (a: number | undefined, b: number | undefined): number | undefined =>
  a === undefined || b === undefined ? (a ?? b) : Math.max(a, b);

const chooseQuarantine = (
  a: Quarantine | undefined,
  b: Quarantine | undefined,
): Quarantine | undefined => {
  if (!a || !b) return a ?? b;
  return b.level > a.level ? b : a;
};

/** Merges two records of one suspect. An answer refutes every earlier loss and quarantine. */
export const mergeSuspects = (a: Suspect, b: Suspect): Suspect =>
  removeAnswered({
    ...a,
    losses: mergeLosses(a.losses, b.losses),
    answeredAt: findMax(a.answeredAt, b.answeredAt),
    quarantine: chooseQuarantine(a.quarantine, b.quarantine),
  });

// A quarantined companion explains the losses that a block shares with it. If two companions were
// quarantined one after the other, what they have in common is the more likely cause.
const createCompanionTest = (
  { losses }: Suspect,
  quarantined: readonly Suspect[],
): ((loss: EndpointLoss) => boolean) => {
  const names = new Set(
    quarantined.filter(({ kind }) => kind === 'shared_block').map(({ id }) => id),
  );
  const companions = new Set(losses.flatMap((loss) => loss.companions));
  const found = [...companions].filter((block) => names.has(block));
  return (loss) => found.length === 1 && loss.companions.includes(found[0]!);
};

const countAnswering = ({ losses }: Suspect): number =>
  losses.filter(({ isAnswering }) => isAnswering).length;

const hasMoreEvidence = (a: Suspect, b: Suspect): boolean => {
  const difference = countAnswering(a) - countAnswering(b);
  return difference === 0 ? a.losses.length > b.losses.length : difference > 0;
};

// A suspect with more evidence against it explains the losses of others at the same endpoints.
const createBystanderTest = (
  suspect: Suspect,
  quarantined: readonly Suspect[],
): ((loss: EndpointLoss) => boolean) => {
  const explained = new Set(
    quarantined
      .filter((other) => hasMoreEvidence(other, suspect))
      .flatMap((other) => other.losses.map(({ incarnation }) => incarnation)),
  );
  return ({ incarnation }) => explained.has(incarnation);
};

// Whether one request was lost in all of these losses, so that it alone may have caused them.
const hasSingleRequest = ([first, ...others]: readonly EndpointLoss[]): boolean =>
  first?.requests.some((request) => others.every(({ requests }) => requests.includes(request))) ===
  true;

/**
 * Counts the losses that speak against a suspect. Those of one moment count once, and so do those of
 * a block that one request explains. If the suspect was answered before, each must have started after
 * the one before it ended, since many requests with a popular block are lost when several endpoints
 * fail at once.
 */
export const countIndependentLosses = (
  suspect: Suspect,
  quarantined: readonly Suspect[],
): number => {
  const isFromCompanion = createCompanionTest(suspect, quarantined);
  const isBystander = createBystanderTest(suspect, quarantined);
  const counted: EndpointLoss[] = [];
  let lastAt = -Infinity;
  for (const loss of suspect.losses) {
    const { startedAt, lostAt } = loss;
    const isLater =
      suspect.answeredAt === undefined ? lostAt - lastAt > COINCIDENCE_MS : startedAt > lastAt;
    if (!isLater || isFromCompanion(loss) || isBystander(loss)) continue;
    counted.push(loss);
    lastAt = lostAt;
  }
  return suspect.kind !== 'request' && hasSingleRequest(counted) ? 1 : counted.length;
};

/**
 * Computes the number of losses in a row that chance does not explain, from the attempts of other
 * requests and how many of them were lost in the same way.
 */
const computeNeededLosses = (attempts: number, losses: number): number => {
  const expected = losses + PRIOR_ATTEMPTS * MIN_LOSS_SHARE;
  const share = Math.max(MIN_LOSS_SHARE, expected / (attempts + PRIOR_ATTEMPTS));
  return share < 1 ? Math.ceil(Math.log(MAX_CHANCE) / Math.log(share)) : MAX_LOSSES;
};

/** A suspect that takes endpoints down, with the inputs of that decision. */
export interface SuspicionVerdict {
  readonly suspect: Suspect;
  /** Independent losses, and the number that was needed. */
  readonly losses: number;
  readonly needed: number;
  /** Whether only losses were counted whose response had begun. */
  readonly isAnswering: boolean;
}

/**
 * Decides whether a suspect takes endpoints down; returns undefined if chance explains its losses. An
 * endpoint that fails takes many requests with it that it has not begun to answer, so losses of
 * answers that had begun are compared with such losses alone.
 */
export const judgeSuspect = (input: SuspicionInput): SuspicionVerdict | undefined => {
  const { suspect, quarantined, otherAttempts, otherLosses, otherAnsweringLosses } = input;
  if (suspect.quarantine) return undefined;
  const extra = suspect.answeredAt === undefined ? 0 : ANSWERED_EXTRA_LOSSES;
  const max = suspect.kind === 'request' ? MAX_REQUEST_LOSSES : MAX_LOSSES;
  const begun = { ...suspect, losses: suspect.losses.filter(({ isAnswering }) => isAnswering) };
  const tests = [
    { counted: begun, min: MIN_ANSWERING_LOSSES, others: otherAnsweringLosses, isAnswering: true },
    { counted: suspect, min: MIN_LOSSES, others: otherLosses, isAnswering: false },
  ];
  return tests
    .map(({ counted, min, others, isAnswering }) => ({
      suspect,
      isAnswering,
      losses: countIndependentLosses(counted, quarantined),
      needed: Math.min(
        MAX_LOSSES,
        Math.min(max, Math.max(min, computeNeededLosses(otherAttempts, others))) + extra,
      ),
    }))
    .find(({ losses, needed }) => losses >= needed);
};

const chooseMost = <T>(items: readonly T[], read: (item: T) => number): readonly T[] => {
  const most = Math.max(...items.map(read));
  return items.filter((item) => read(item) === most);
};

/**
 * Chooses the suspects to quarantine of those that could explain the losses: those with the strongest
 * evidence, and of equal blocks the last in the prompts, which is in the fewest requests. A request
 * or its own block concerns nothing else, so it never stands in for a shared block.
 */
export const chooseCulprits = (
  verdicts: readonly SuspicionVerdict[],
): readonly SuspicionVerdict[] => {
  const strongest = chooseMost(verdicts, ({ isAnswering }) => Number(isAnswering));
  const equal = chooseMost(strongest, ({ losses }) => losses);
  const own = equal.filter(({ suspect }) => suspect.kind !== 'shared_block');
  const shared = equal.filter(({ suspect }) => suspect.kind === 'shared_block');
  return [...chooseMost(shared, ({ suspect }) => suspect.depth), ...own];
};

const listIncarnations = ({ losses }: Suspect): ReadonlySet<string> =>
  new Set(losses.map(({ incarnation }) => incarnation));

/**
 * Finds the block that is blamed in place of a shared block that was answered before: one that comes
 * later in the prompts, was never answered, and was lost with all the endpoints that were lost with
 * the shared block. A block that all requests have is lost with every endpoint that crashes, and no
 * request without it shows how many are lost by chance.
 */
export const findDeeperCulprit = (
  { suspect }: SuspicionVerdict,
  companions: readonly Suspect[],
): Suspect | undefined => {
  if (suspect.kind !== 'shared_block' || suspect.answeredAt === undefined) return undefined;
  const lost = [...listIncarnations(suspect)];
  const deeper = companions.filter(
    (other) =>
      other.kind === 'shared_block' &&
      other.depth > suspect.depth &&
      other.answeredAt === undefined &&
      other.quarantine === undefined &&
      lost.every((incarnation) => listIncarnations(other).has(incarnation)),
  );
  return chooseMost(
    chooseMost(deeper, ({ losses }) => losses.length),
    ({ depth }) => depth,
  )[0];
};

/** Computes the time from a probe to the next one, in milliseconds. */
export const computeHoldMs = ({ level }: Quarantine): number =>
  Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * HOLD_FACTOR ** (level - 1));

/** Whether nothing has happened to a suspect for so long that its record is dropped. */
export const isForgotten = (suspect: Suspect, now: number): boolean => {
  const { losses, answeredAt = -Infinity, quarantine } = suspect;
  const lossesEnd = (losses.at(-1)?.lostAt ?? -Infinity) + LOSS_MEMORY_MS;
  // A request that could be the next probe may be late.
  const quarantineEnd = quarantine
    ? quarantine.since + computeHoldMs(quarantine) + MAX_HOLD_MS
    : -Infinity;
  return now > Math.max(lossesEnd, quarantineEnd, answeredAt + ANSWER_MEMORY_MS);
};
