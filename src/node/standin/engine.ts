import { setTimeout as sleep } from 'node:timers/promises';
import { Readable } from 'node:stream';
import type { FastifyInstance } from 'fastify';
import { z } from 'zod';
import { createError } from '../errors';
import type { ServedVersion } from '../inventory';
import { createHttpServer, startHttpServer, type ListenAddress } from '../rpc';
import { registerOrders, type StandinOrder } from './orders';
import { startAnnouncing } from './standinServer';

/** Options of a stand-in engine. */
export interface StandinEngineOptions {
  readonly endpoint: string;
  readonly listen: ListenAddress;
  readonly agentAddress: string;
  readonly serves: readonly ServedVersion[];
  readonly slots?: number;
  readonly firstTokenMs?: number;
  readonly tokenMs?: number;
  readonly tokens?: number;
  readonly checksFencing?: boolean;
  /** Number of runs to keep in the record; the oldest are dropped first. */
  readonly recordLimit?: number;
}

/** A run recorded by the stand-in engine. */
export interface StandinRun {
  readonly requestId: string;
  readonly attempt: string;
  readonly model: string;
  /** The request body as JSON. */
  readonly input: string;
  /** The generated text so far. */
  readonly output: string;
  /** The response body as sent so far. */
  readonly sent: string;
  readonly inputTokens: number;
  readonly outputTokens: number;
  readonly state: 'running' | 'done' | 'cancelled';
  /** Wall-clock time in milliseconds at which the run started. */
  readonly startedAt: number;
}

/** A running stand-in engine. */
export interface StandinEngine {
  readonly address: string;
  readonly listRuns: () => readonly StandinRun[];
  readonly listOrders: () => readonly StandinOrder[];
  readonly stop: () => Promise<void>;
}

interface MutableRun {
  readonly requestId: string;
  readonly attempt: string;
  readonly model: string;
  readonly input: string;
  readonly inputTokens: number;
  readonly startedAt: number;
  output: string;
  sent: string;
  outputTokens: number;
  state: StandinRun['state'];
}

const bodySchema = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({ content: z.unknown().optional() })),
  stream: z.boolean().nullish(),
  max_tokens: z.number().int().positive().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().nullish() }).nullish(),
});

type ChatBody = z.infer<typeof bodySchema>;

const WORDS = [
  'rack',
  'base',
  'slab',
  'gravel',
  'yard',
  'stock',
  'quote',
  'draft',
  'depth',
  'cost',
];
const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_TOKENS = 12;

const countInputTokens = (body: ChatBody): number =>
  Math.ceil(JSON.stringify(body.messages).length / CHARACTERS_PER_TOKEN);

// The answer depends only on the last message, so that a test can match an answer to its request.
const computeWord = (body: ChatBody, index: number): string => {
  const text = JSON.stringify(body.messages.at(-1)?.content ?? '');
  const sum = [...text].reduce((total, letter) => total + letter.charCodeAt(0), index * 7);
  return `${index === 0 ? '' : ' '}${WORDS[sum % WORDS.length]}`;
};

const formatChunk = (run: MutableRun, content: string, finish: string | null): string => {
  const choice = { index: 0, delta: content === '' ? {} : { content }, finish_reason: finish };
  const chunk = {
    id: run.requestId,
    object: 'chat.completion.chunk',
    created: 0,
    model: run.model,
    choices: [choice],
  };
  return `data: ${JSON.stringify(chunk)}\n\n`;
};

const formatUsage = (run: MutableRun) => ({
  prompt_tokens: run.inputTokens,
  completion_tokens: run.outputTokens,
  total_tokens: run.inputTokens + run.outputTokens,
});

const CHAT_FIELDS = { object: 'chat.completion', created: 0 } as const;

const formatAnswer = (run: MutableRun) => ({
  ...CHAT_FIELDS,
  id: run.requestId,
  model: run.model,
  choices: [
    { index: 0, message: { role: 'assistant', content: run.output }, finish_reason: 'stop' },
  ],
  usage: formatUsage(run),
});

const recordSent = (run: MutableRun, text: string): string => {
  run.sent += text;
  return text;
};

/** Starts a stand-in engine that implements the chat protocol and records every run. */
export const startStandinEngine = async (options: StandinEngineOptions): Promise<StandinEngine> => {
  const runs: MutableRun[] = [];
  const app: FastifyInstance = createHttpServer();
  const { firstTokenMs = 20, tokenMs = 5, slots = 8, recordLimit = Infinity } = options;

  async function* generateWords(body: ChatBody, run: MutableRun): AsyncGenerator<string> {
    const total = Math.min(body.max_tokens ?? Infinity, options.tokens ?? DEFAULT_TOKENS);
    if (firstTokenMs > 0) await sleep(firstTokenMs);
    for (let index = 0; index < total; index += 1) {
      if (index > 0 && tokenMs > 0) await sleep(tokenMs);
      const word = computeWord(body, index);
      run.output += word;
      run.outputTokens += 1;
      yield word;
    }
  }

  async function* generateEvents(body: ChatBody, run: MutableRun): AsyncGenerator<string> {
    try {
      for await (const word of generateWords(body, run)) {
        yield recordSent(run, formatChunk(run, word, null));
      }
      yield recordSent(run, formatChunk(run, '', 'stop'));
      if (body.stream_options?.include_usage === true) {
        const usage = { id: run.requestId, choices: [], usage: formatUsage(run) };
        yield recordSent(run, `data: ${JSON.stringify(usage)}\n\n`);
      }
      run.state = 'done';
      yield recordSent(run, 'data: [DONE]\n\n');
    } finally {
      if (run.state === 'running') run.state = 'cancelled';
    }
  }

  const addRun = (requestId: string, attempt: string, body: ChatBody): MutableRun => {
    const run: MutableRun = {
      requestId,
      attempt,
      model: body.model,
      input: JSON.stringify(body),
      startedAt: Date.now(),
      output: '',
      sent: '',
      inputTokens: countInputTokens(body),
      outputTokens: 0,
      state: 'running',
    };
    runs.push(run);
    // Drops old runs in batches, so that long load tests do not shift the array on every request.
    if (runs.length > 2 * recordLimit) runs.splice(0, runs.length - recordLimit);
    return run;
  };

  app.post('/v1/chat/completions', async (request, reply) => {
    const parsed = bodySchema.safeParse(request.body);
    if (!parsed.success) {
      const message = parsed.error.issues[0]?.message ?? 'the body does not match the schema';
      throw createError({ type: 'invalid_request', message, step: 'engine.parse' });
    }
    const body = parsed.data;
    const requestId = String(request.headers['x-request-id'] ?? request.id);
    const run = addRun(requestId, String(request.headers['x-attempt'] ?? '0'), body);
    if (body.stream === true) {
      reply.header('content-type', 'text/event-stream');
      return reply.send(Readable.from(generateEvents(body, run)));
    }
    for await (const word of generateWords(body, run)) if (word === '') break;
    run.state = 'done';
    const answer = recordSent(run, JSON.stringify(formatAnswer(run)));
    return reply.header('content-type', 'application/json; charset=utf-8').send(answer);
  });

  const engineState = registerOrders(app, options.serves, options.checksFencing ?? false);

  app.get('/record', async () => ({ runs, orders: engineState.listOrders() }));

  const address = await startHttpServer(app, options.listen);
  const stopAnnouncing = startAnnouncing(options.agentAddress, () => ({
    endpoint: options.endpoint,
    address,
    serves: engineState.listServed(),
    role: engineState.readRole(),
    adapters: engineState.listAdapters(),
    slots,
    checksFencing: options.checksFencing ?? false,
  }));

  return {
    address,
    listRuns: () => runs,
    listOrders: engineState.listOrders,
    stop: async () => {
      stopAnnouncing();
      await app.close();
    },
  };
};
