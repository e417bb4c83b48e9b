import type { PromptBlock } from '../../src/node/gateway';
import type { Clock } from './clock';
import type { Pattern, PatternModel } from './pattern';

/** A run at an engine. */
export interface EngineRun {
  readonly model: PatternModel;
  readonly parts: readonly PromptBlock[];
  readonly answerTokens: number;
  /** Before the first token, with what the head of an answer tells; false cancels the run. */
  readonly handleHead: () => boolean;
  readonly handleFirstToken: () => void;
  readonly handleEnd: () => void;
}

/** What really is at an engine, which only an oracle sees. */
export interface EngineTruth {
  /** Reading that is ahead of a new run, in milliseconds. */
  readonly queueMs: number;
  readonly running: number;
}

/** An engine that batches continuously and reads prompts in chunks, first come first served. */
export interface Engine {
  readonly id: string;
  readonly zone: string;
  /** False when the engine has no place. */
  readonly start: (run: EngineRun) => boolean;
  readonly readTruth: () => EngineTruth;
  readonly estimateRead: (model: PatternModel, parts: readonly PromptBlock[]) => number;
  /** Shared tokens that were read although the engine pool had read them before. */
  readonly countBusyMs: () => number;
}

interface Active {
  readonly run: EngineRun;
  unread: number;
  read: number;
  promptTokens: number;
  answerLeft: number;
  isStarted: boolean;
}

const countTokens = (parts: readonly PromptBlock[]): number =>
  parts.reduce((sum, { tokens }) => sum + tokens, 0);

/** Creates an idle engine with an empty memory. */
export const createEngine = (clock: Clock, pattern: Pattern, id: string, zone: string): Engine => {
  const { engine: physics } = pattern;
  const queue: Active[] = [];
  const decoding = new Set<Active>();
  /** Tokens by model and part, the least recently used first. */
  const cache = new Map<string, number>();
  let cached = 0;
  let isBusy = false;
  let busyMs = 0;

  const formatPart = (model: PatternModel, part: PromptBlock): string => `${model.name}|${part.id}`;

  // What a run has read is among the cached parts; only its answer comes on top.
  const countHeld = (): number => {
    let held = 0;
    for (const active of decoding) held += active.run.answerTokens;
    return held;
  };

  const removeOldest = (): void => {
    const limit = physics.cacheTokens - countHeld();
    for (const [name, tokens] of cache) {
      if (cached <= limit) return;
      cache.delete(name);
      cached -= tokens;
    }
  };

  const addParts = ({ model, parts }: EngineRun): void => {
    for (const part of parts) {
      const name = formatPart(model, part);
      cached += part.tokens - (cache.get(name) ?? 0);
      cache.delete(name);
      cache.set(name, part.tokens);
    }
    removeOldest();
  };

  const countUnread = (model: PatternModel, parts: readonly PromptBlock[]): number => {
    const first = parts.findIndex((part) => !cache.has(formatPart(model, part)));
    return first < 0 ? 1 : countTokens(parts.slice(first));
  };

  const computeReadMs = (tokens: number, before: number, pace: number): number => {
    const pairs = tokens * (before + tokens / 2);
    return pace * (tokens / physics.readTokensPerMs + (pairs / 1e6) * physics.pairsMsPerMillion);
  };

  const readChunk = (): number => {
    const [head] = queue;
    if (!head) return 0;
    if (head.read === 0 && !head.isStarted) {
      // What the runs before have read since this one came need not be read again.
      head.unread = Math.min(head.unread, countUnread(head.run.model, head.run.parts));
      head.isStarted = true;
    }
    const tokens = Math.min(physics.chunkTokens, head.unread);
    const before = head.promptTokens - head.unread;
    head.unread -= tokens;
    head.read += tokens;
    return computeReadMs(tokens, before, head.run.model.pace);
  };

  const settleRead = (): void => {
    const [head] = queue;
    if (!head || !head.isStarted || head.unread > 0) return;
    queue.shift();
    addParts(head.run);
    if (!head.run.handleHead()) return;
    head.run.handleFirstToken();
    head.answerLeft -= 1;
    decoding.add(head);
  };

  const advance = (): void => {
    if (queue.length === 0 && decoding.size === 0) {
      isBusy = false;
      return;
    }
    // Steps take as long for each model; logged days show the same pause between events.
    const stepMs = readChunk() + physics.stepMs + physics.stepMsPerSlot * decoding.size;
    busyMs += stepMs;
    clock.add(stepMs, () => {
      for (const active of decoding) {
        active.answerLeft -= 1;
        if (active.answerLeft > 0) continue;
        decoding.delete(active);
        active.run.handleEnd();
      }
      settleRead();
      advance();
    });
  };

  return {
    id,
    zone,
    start: (run) => {
      if (queue.length + decoding.size >= physics.slots * 2) return false;
      queue.push({
        run,
        unread: countUnread(run.model, run.parts),
        read: 0,
        promptTokens: countTokens(run.parts),
        answerLeft: run.answerTokens,
        isStarted: false,
      });
      if (!isBusy) {
        isBusy = true;
        advance();
      }
      return true;
    },
    readTruth: () => ({
      queueMs: queue.reduce(
        (sum, { unread, promptTokens, run }) =>
          sum + computeReadMs(unread, promptTokens - unread, run.model.pace),
        0,
      ),
      running: queue.length + decoding.size,
    }),
    estimateRead: (model, parts) => {
      const unread = countUnread(model, parts);
      return computeReadMs(unread, countTokens(parts) - unread, model.pace);
    },
    countBusyMs: () => busyMs,
  };
};
