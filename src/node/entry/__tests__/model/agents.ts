import { Readable } from 'node:stream';
import { createAttemptStore, createUsageReporter, type AttemptStore } from '../../../agent';
import { formatErrorBody, type RouterError } from '../../../errors';
import type { LedgerCommand } from '../../../ledger';
import type { AttemptName, AttemptRequest } from '../../../shared';
import type { Member } from '../../../view';
import type { Network, Rules } from './network';

/** A run, as the engines recorded it. */
export interface EngineRun {
  readonly requestId: string;
  readonly attempt: number;
  readonly body: string;
  readonly version: string;
  readonly node: string;
  readonly incarnation: number;
  tokens: number;
}

/** An agent with its engine. A restart gives it a new incarnation. */
export interface ModelAgent {
  readonly member: () => Member;
  readonly isUp: () => boolean;
  /** Returns a signal that aborts when the running incarnation is killed. */
  readonly killSignal: () => AbortSignal;
  readonly store: () => AttemptStore;
  /** Sends the pending usage reports. */
  readonly report: () => Promise<void>;
  readonly freeze: () => void;
  readonly kill: () => number;
  readonly start: (incarnation: number) => void;
}

export const CHUNKS = 4;
export const formatChunk = (body: string, index: number): string => `[${body}#${index}]`;

const SLOTS = 2;
const QUEUE_LIMIT = 6;
const silent = { info: () => {}, warn: () => {}, error: () => {} } as never;
const waitForever = (): Promise<never> => new Promise(() => {});

/** Creates an agent that is down until started. */
export const createAgent = (
  node: string,
  network: Network,
  runs: EngineRun[],
  rules: Rules,
  propose: (command: LedgerCommand) => Promise<never>,
): ModelAgent => {
  let incarnation = 0;
  let hasLease = false;
  let killController = new AbortController();
  let store: AttemptStore;
  let sendReports = async (): Promise<void> => {};

  const createMember = (): Member => ({
    endpoint: `engine-${node}`,
    node,
    address: node,
    incarnation,
    host: node,
    zone: 'zone',
    serves: [],
    slots: SLOTS,
    checksFencing: false,
    state: 'live',
  });

  const createStore = (own: number): AttemptStore => {
    const isAlive = (): boolean => incarnation === own;
    const reporter = createUsageReporter({
      node,
      ledger: { propose },
      view: { find: () => undefined } as never,
      log: silent,
    });
    sendReports = reporter.stop;
    return createAttemptStore({
      lease: {
        isValid: () => isAlive() && hasLease,
        incarnation: () => own,
        view: {
          find: (kind: string) =>
            kind === 'model' ? { versions: [{ name: 'v1' }, { name: 'v2' }] } : undefined,
        },
      } as never,
      announcements: {
        find: () => ({ address: node }),
        countSlots: () => SLOTS,
      } as never,
      queueLimit: QUEUE_LIMIT,
      bufferBytes: 1_000_000,
      reporter: {
        add: (...report) => {
          if (rules.agentReports && isAlive()) reporter.add(...report);
        },
      },
      log: silent,
      call: async ({ counts }, attempt) => {
        if (!isAlive()) await waitForever();
        const { requestId, target, body, attempt: number } = attempt.request;
        const version = target.kind === 'model' ? target.version : '';
        const text = Buffer.from(body, 'base64').toString();
        const run = { requestId, attempt: number, body: text, version, node, incarnation: own };
        const record: EngineRun = { ...run, tokens: 0 };
        runs.push(record);
        await network.wait();
        attempt.append({ type: 'head', status: 200, contentType: 'text/event-stream' });
        for (let index = 0; index < CHUNKS; index += 1) {
          await network.wait();
          if (!isAlive()) await waitForever();
          if (attempt.abort.signal.aborted) throw new Error('cancelled');
          const data = Buffer.from(formatChunk(text, index)).toString('base64');
          attempt.append({ type: 'data', data });
          record.tokens += 1;
          Object.assign(counts, { outputTokens: record.tokens });
        }
        attempt.append({ type: 'end', ...counts });
      },
    });
  };

  return {
    member: createMember,
    isUp: () => incarnation !== 0,
    killSignal: () => killController.signal,
    store: () => store,
    report: () => sendReports(),
    freeze: () => {
      hasLease = false;
    },
    kill: () => {
      const old = incarnation;
      incarnation = 0;
      killController.abort();
      hasLease = false;
      return old;
    },
    start: (next) => {
      incarnation = next;
      killController = new AbortController();
      hasLease = true;
      store = createStore(next);
    },
  };
};

interface Answer {
  readonly statusCode: number;
  readonly body: unknown;
}

const formatRefusal = (cause: unknown): Answer => {
  const body = formatErrorBody(cause as RouterError, '');
  return { statusCode: 503, body: { json: async () => body } };
};

const CUT_PERCENT = 4;

/** Handles an HTTP request of an entry, like the internal port of an agent. */
export const replyToRequest = (
  agent: ModelAgent,
  network: Network,
  rules: Rules,
  options: { readonly path: string; readonly body?: unknown },
): Answer => {
  if (!agent.isUp()) throw Object.assign(new Error('refused'), { code: 'ECONNREFUSED' });
  const killSignal = agent.killSignal();
  const query = new URL(options.path, 'http://agent').searchParams;
  const from = Number(query.get('from') ?? 0);
  const find = () => {
    const [, , requestId = '', attempt = ''] = options.path.split(/[/?]/);
    const name = { requestId, attempt: Number(attempt) };
    return agent.store().find({ ...name, incarnation: Number(query.get('incarnation')) });
  };
  try {
    const attempt =
      options.body === undefined
        ? find()
        : agent.store().admit(JSON.parse(String(options.body)) as AttemptRequest);
    if (!attempt)
      throw Object.assign(new Error('unknown'), { type: 'not_found', outcome: 'unknown' });
    async function* readLines(): AsyncGenerator<Buffer> {
      // Without the rule, a resumed stream starts at the head again under new frame numbers.
      const first = rules.frameNumbering ? from : 0;
      for await (const frame of attempt!.read(first, killSignal)) {
        await network.wait();
        if (killSignal.aborted || network.hasChance(CUT_PERCENT))
          throw new Error('the stream was cut');
        const index = rules.frameNumbering ? frame.index : frame.index + from;
        yield Buffer.from(`${JSON.stringify({ ...frame, index })}\n`);
      }
      if (killSignal.aborted) throw new Error('the agent was killed');
    }
    return { statusCode: 200, body: Readable.from(readLines()) };
  } catch (cause) {
    return formatRefusal(cause);
  }
};

const waitForKill = (killSignal: AbortSignal): Promise<never> =>
  new Promise((_resolve, reject) => {
    killSignal.addEventListener('abort', () => reject(new Error('the agent was killed')), {
      once: true,
    });
  });

/** Handles the RPC methods of an agent. */
export const replyToMethod = async (
  agent: ModelAgent,
  rules: Rules,
  method: string,
  params: unknown,
): Promise<unknown> => {
  if (!agent.isUp()) throw new Error('refused');
  const store = agent.store();
  if (method === 'attempt.confirm') {
    const { items } = params as { readonly items: readonly AttemptName[] };
    return items.forEach(store.confirm);
  }
  // Without the rule, an agent reports `never` for each attempt that it does not know.
  const name = params as AttemptName;
  if (!rules.tombstones && !store.find(name)) return { type: 'ended', state: 'never' };
  if (method === 'attempt.refuse') return store.refuse(name);
  return Promise.race([store.cancel(name), waitForKill(agent.killSignal())]);
};
