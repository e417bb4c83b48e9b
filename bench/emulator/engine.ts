import { DEFAULT_PRIORITY } from '../../src/node/decisions';
import type { PromptBlock } from '../../src/node/gateway';
import type { Clock } from './clock';
import type { Pattern, PatternModel } from './pattern';

/** A request that runs on an engine. */
export interface EngineRun {
  readonly model: PatternModel;
  readonly promptBlocks: readonly PromptBlock[];
  readonly answerTokens: number;
  /** 0 is prefilled first; a run without one has the priority 5. */
  readonly priority?: number | undefined;
  /** Called before the first token, when the response head is available. False cancels the run. */
  readonly handleResponseHead: () => boolean;
  readonly handleFirstToken: () => void;
  /** Called at each event after the first one. */
  readonly handleEvent?: () => void;
  /** Called after the last token, with the longest time between two events of the stream. */
  readonly handleEnd: (longestPauseMs: number) => void;
  /** Called when the engine is lost before the last token. */
  readonly handleLoss: () => void;
}

/** The actual state of an engine. Only the oracle policy may read it. */
export interface EngineState {
  /** Prefill time queued ahead of a new run, in milliseconds. */
  readonly queueMs: number;
  readonly running: number;
}

/**
 * An engine with continuous batching and chunked prefill. Each chunk belongs to the waiting run with
 * the most urgent priority, then the earliest arrival; a run that others overtake keeps its chunks.
 */
export interface Engine {
  readonly id: string;
  readonly zone: string;
  /** Returns false when the engine has no free capacity. */
  readonly start: (run: EngineRun) => boolean;
  /** Ends the engine without a notice, with all its runs. */
  readonly stop: () => void;
  readonly isLost: () => boolean;
  readonly readState: () => EngineState;
  readonly estimatePrefillMs: (model: PatternModel, promptBlocks: readonly PromptBlock[]) => number;
  /** Returns the total duration of all batch steps in milliseconds. */
  readonly countBusyMs: () => number;
}

/** Measures the pauses between the events of one stream. */
interface PauseWatch {
  readonly start: () => void;
  readonly recordToken: (isLast: boolean) => void;
  readonly readLongestMs: () => number;
}

const createPauseWatch = (clock: Clock, tokensPerEvent: number): PauseWatch => {
  let lastEventAt = 0;
  let tokens = 0;
  let longestMs = 0;
  return {
    start: () => {
      lastEventAt = clock.readNow();
    },
    recordToken: (isLast) => {
      tokens += 1;
      if (tokens < tokensPerEvent && !isLast) return;
      longestMs = Math.max(longestMs, clock.readNow() - lastEventAt);
      lastEventAt = clock.readNow();
      tokens = 0;
    },
    readLongestMs: () => longestMs,
  };
};

interface ActiveRun {
  readonly run: EngineRun;
  readonly priority: number;
  uncachedTokens: number;
  prefilledTokens: number;
  promptTokens: number;
  remainingAnswerTokens: number;
  readonly pauses: PauseWatch;
  isStarted: boolean;
}

const countTokens = (blocks: readonly PromptBlock[]): number =>
  blocks.reduce((sum, { tokens }) => sum + tokens, 0);

/** Creates an idle engine with an empty prefix cache. */
export const createEngine = (
  clock: Clock,
  pattern: Pattern,
  id: string,
  zone: string,
  readTimeFactor: () => number = () => 1,
): Engine => {
  const { engine: settings } = pattern;
  /** Runs without a first token, in the order of their prefill. */
  const queue: ActiveRun[] = [];
  /** Run whose chunk is prefilled in the current step. */
  let prefilling: ActiveRun | undefined;
  const decoding = new Set<ActiveRun>();
  /** Tokens by model and prompt block, the least recently used first. */
  const cache = new Map<string, number>();
  let cachedTokens = 0;
  let isLost = false;
  let isBusy = false;
  let busyMs = 0;

  const formatCacheKey = (model: PatternModel, block: PromptBlock): string =>
    `${model.name}|${block.id}`;

  // The prompt blocks of a decoding run are counted in the cache, so only its answer is added.
  const countAnswerTokens = (): number => {
    let held = 0;
    for (const active of decoding) held += active.run.answerTokens;
    return held;
  };

  const evictOldest = (): void => {
    const limit = settings.cacheTokens - countAnswerTokens();
    for (const [name, tokens] of cache) {
      if (cachedTokens <= limit) return;
      cache.delete(name);
      cachedTokens -= tokens;
    }
  };

  const addBlocks = ({ model, promptBlocks }: EngineRun): void => {
    for (const block of promptBlocks) {
      const name = formatCacheKey(model, block);
      cachedTokens += block.tokens - (cache.get(name) ?? 0);
      cache.delete(name);
      cache.set(name, block.tokens);
    }
    evictOldest();
  };

  const countUncachedTokens = (
    model: PatternModel,
    promptBlocks: readonly PromptBlock[],
  ): number => {
    const first = promptBlocks.findIndex((block) => !cache.has(formatCacheKey(model, block)));
    return first < 0 ? 1 : countTokens(promptBlocks.slice(first));
  };

  const computePrefillMs = (tokens: number, before: number, pace: number): number => {
    const pairs = tokens * (before + tokens / 2);
    return pace * (tokens / settings.readTokensPerMs + (pairs / 1e6) * settings.pairsMsPerMillion);
  };

  const runPrefillChunk = (): number => {
    const [head] = queue;
    prefilling = head;
    if (!head) return 0;
    if (head.prefilledTokens === 0 && !head.isStarted) {
      // Earlier runs may have cached blocks of this prompt since it was queued.
      head.uncachedTokens = Math.min(
        head.uncachedTokens,
        countUncachedTokens(head.run.model, head.run.promptBlocks),
      );
      head.isStarted = true;
    }
    const tokens = Math.min(settings.chunkTokens, head.uncachedTokens);
    const before = head.promptTokens - head.uncachedTokens;
    head.uncachedTokens -= tokens;
    head.prefilledTokens += tokens;
    return computePrefillMs(tokens, before, head.run.model.pace);
  };

  const settlePrefill = (): void => {
    const head = prefilling;
    if (!head || head.uncachedTokens > 0) return;
    queue.splice(queue.indexOf(head), 1);
    addBlocks(head.run);
    if (!head.run.handleResponseHead()) return;
    head.run.handleFirstToken();
    head.remainingAnswerTokens -= 1;
    head.pauses.start();
    decoding.add(head);
  };

  const advance = (): void => {
    if (queue.length === 0 && decoding.size === 0) {
      isBusy = false;
      return;
    }
    // Step time does not depend on the model. Logged traffic shows the same gap between events for
    // every model.
    const stepMs =
      readTimeFactor() *
      (runPrefillChunk() + settings.stepMs + settings.stepMsPerSlot * decoding.size);
    busyMs += stepMs;
    clock.schedule(stepMs, () => {
      if (isLost) return;
      for (const active of decoding) {
        active.remainingAnswerTokens -= 1;
        active.pauses.recordToken(active.remainingAnswerTokens <= 0);
        const isEvent =
          (active.run.answerTokens - active.remainingAnswerTokens) % settings.tokensPerEvent === 0;
        if (isEvent) active.run.handleEvent?.();
        if (active.remainingAnswerTokens > 0) continue;
        decoding.delete(active);
        active.run.handleEnd(active.pauses.readLongestMs());
      }
      settlePrefill();
      advance();
    });
  };

  return {
    id,
    zone,
    start: (run) => {
      if (queue.length + decoding.size >= settings.slots * 2) return false;
      const priority = run.priority ?? DEFAULT_PRIORITY;
      const next = queue.findIndex((active) => active.priority > priority);
      queue.splice(next < 0 ? queue.length : next, 0, {
        run,
        priority,
        uncachedTokens: countUncachedTokens(run.model, run.promptBlocks),
        prefilledTokens: 0,
        promptTokens: countTokens(run.promptBlocks),
        remainingAnswerTokens: run.answerTokens,
        pauses: createPauseWatch(clock, settings.tokensPerEvent),
        isStarted: false,
      });
      if (!isBusy) {
        isBusy = true;
        advance();
      }
      return true;
    },
    stop: () => {
      isLost = true;
      [...queue.splice(0), ...decoding].forEach(({ run }) => run.handleLoss());
      decoding.clear();
    },
    isLost: () => isLost,
    readState: () => ({
      queueMs: queue.reduce(
        (sum, { uncachedTokens, promptTokens, run }) =>
          sum + computePrefillMs(uncachedTokens, promptTokens - uncachedTokens, run.model.pace),
        0,
      ),
      running: queue.length + decoding.size,
    }),
    estimatePrefillMs: (model, promptBlocks) => {
      const uncached = countUncachedTokens(model, promptBlocks);
      return computePrefillMs(uncached, countTokens(promptBlocks) - uncached, model.pace);
    },
    countBusyMs: () => busyMs,
  };
};
