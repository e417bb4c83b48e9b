import { Left, Right } from 'purify-ts';
import { createError, type RouterError } from '../../../errors';
import {
  createLedgerState,
  type LedgerCommand,
  type LedgerState,
  type Owner,
} from '../../../ledger';
import { createDeferredRunner, type DeferredRunner } from '../../deferredRunner';
import { createAttemptClient } from '../../attemptClient';
import { createBasicPolicy } from '../../attemptPolicy';
import { createRequestRunner, type RequestRunner } from '../../requestRunner';
import type { RunRequest } from '../../runTypes';
import { createSettlement } from '../../settlement';
import {
  replyToMethod,
  replyToRequest,
  createAgent,
  type EngineRun,
  type ModelAgent,
} from './agents';
import { createNetwork, type Network, type Rules } from './network';

/** A call of a caller. A retry with the same key is a separate call. */
export interface CallRecord {
  readonly requestId: string;
  readonly body: string;
  readonly key?: string;
  readonly session?: string;
  readonly idempotent: boolean;
  readonly answer?: string;
  readonly version?: string;
  readonly error?: RouterError;
}

/** A deferred request that was accepted, in the order of acceptance. */
export interface DeferredRecord {
  readonly requestId: string;
  readonly idempotent: boolean;
}

/** The history that the oracle checks. */
export interface History {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly EngineRun[];
  readonly deferred: readonly DeferredRecord[];
  readonly ledger: LedgerState;
  /** Names of the attempts whose intent was committed. */
  readonly intents: ReadonlySet<string>;
  /** Incarnations of agents that were running at the end. */
  readonly live: ReadonlySet<number>;
}

interface ModelEntry {
  readonly runner: RequestRunner;
  readonly deferred: DeferredRunner;
  readonly owner: Owner;
  readonly stop: () => void;
}

const ORGANISATION = { name: 'north', weight: 1 };
const VERSIONS = ['v1', 'v2'] as const;
const REQUESTS = 5;
const DEFERRED = 3;
const DRAIN_ROUNDS = 40;
const ROUND_MS = 10_000;
const TRIES = 3;
const HOUR_MS = 3_600_000;
const silent = { info: () => {}, warn: () => {}, error: () => {} } as never;

const findOrganisation = (kind: string) => (kind === 'organisation' ? ORGANISATION : undefined);

const createReportFilter = (rules: Rules, command: LedgerCommand, count: number): LedgerCommand => {
  if (rules.firstReportWins || command.type !== 'report') return command;
  // Without the rule, each report of an attempt adds a line to the bill.
  return { ...command, report: { ...command.report, attempt: 100 + count } };
};

/** Runs requests, faults and retries on the production code. A seed gives one history. */
export const runModel = async (seed: number, rules: Rules): Promise<History> => {
  const network: Network = createNetwork(seed);
  const ledger = createLedgerState();
  const runs: EngineRun[] = [];
  const calls: CallRecord[] = [];
  const deferred: DeferredRecord[] = [];
  const intents = new Set<string>();
  let now = 1;
  const readTime = (): number => now;
  let nextIncarnation = 0;
  let nextRequest = 0;
  let reports = 0;

  const createIncarnation = (): number => {
    nextIncarnation += 1;
    return nextIncarnation;
  };

  const propose = (command: LedgerCommand) =>
    network
      .call(() => {
        reports += 1;
        const result = ledger.apply(reports, createReportFilter(rules, command, reports));
        const isIntent = command.type === 'intent' && result.type === 'recorded';
        if (isIntent) intents.add(`${command.requestId}.${command.attempt}`);
        return result;
      })
      .catch((cause: Error) => {
        const { message } = cause;
        throw createError({ type: 'unavailable', message, step: 'ledger', outcome: 'unknown' });
      });

  const agents = ['agent-1', 'agent-2', 'agent-3'].map((node) =>
    createAgent(node, network, runs, rules, propose as never),
  );
  agents.forEach((agent) => agent.start(createIncarnation()));
  const findAgent = (address: string): ModelAgent =>
    agents.find((agent) => agent.member().node === address)!;

  const view = {
    find: () => undefined,
    list: () => agents.filter((agent) => agent.isUp()).map((agent) => agent.member()),
  };

  const createEntry = (node: string): ModelEntry => {
    const owner = { node, incarnation: createIncarnation() };
    let isLive = true;
    let hasProcess = true;
    const checkProcess = (): void => {
      if (!hasProcess) throw new Error('this process was killed');
    };
    const client = createAttemptClient(
      {
        request: async (address, options) => {
          checkProcess();
          const { path, body } = options;
          return network.call(() =>
            replyToRequest(findAgent(address), network, rules, { path, body }),
          ) as never;
        },
        call: async (address, method, params) => {
          try {
            checkProcess();
            const callAgent = () => replyToMethod(findAgent(address), rules, method, params);
            return Right((await network.call(callAgent)) as never);
          } catch (cause) {
            return Left(cause as RouterError);
          }
        },
        replaceConnections: () => {},
      },
      () => network.wait(),
    );
    const readOwner = (): Owner => owner;
    const settlement = createSettlement({
      ledger: {
        propose: async (command) => {
          checkProcess();
          return propose(command);
        },
        find: async () => undefined,
      },
      view: view as never,
      readOwner,
      log: silent,
      wait: () => network.wait(20),
      readTime,
    });
    const chooser = {
      choose: (
        _request: RunRequest,
        bound: { version: string } | undefined,
        excluded: Set<string>,
      ) => {
        const free = agents.map((agent) => agent.member()).filter((m) => !excluded.has(m.endpoint));
        const member = free[network.sampleBelow(Math.max(free.length, 1))];
        if (!member) throw createError({ type: 'unavailable', message: 'none', step: 'choose' });
        const version = bound?.version ?? VERSIONS[network.sampleBelow(2)]!;
        return { model: 'm', version, member, reason: '' };
      },
      updateLoad: () => {},
      log: () => {},
    };
    const runner = createRequestRunner({
      client,
      lease: { isValid: () => isLive, incarnation: () => owner.incarnation, view } as never,
      settlement: {
        ...settlement,
        claim: rules.claims ? settlement.claim : async () => undefined,
        bindSession: rules.bindings ? settlement.bindSession : async (_request, wanted) => wanted,
      },
      chooser: chooser as never,
      policy: createBasicPolicy(),
      readOwner,
      wait: () => network.wait(8),
      answerTimeoutMs: HOUR_MS,
      streamBytes: 1_000_000,
      inFlight: 100,
    });
    const deferredRunner = createDeferredRunner({
      ledger: {
        propose: async (command) => {
          checkProcess();
          return propose(command);
        },
        countQueues: async () => ledger.countQueues(),
      },
      runner,
      settlement,
      lease: { isValid: () => isLive, view: { find: findOrganisation } } as never,
      readOwner,
      answerTimeoutMs: HOUR_MS,
      log: silent,
      readTime,
    });
    return {
      runner,
      deferred: deferredRunner,
      owner,
      stop: () => {
        isLive = false;
        // A frozen process resumes without its lease. A killed one never resumes.
        hasProcess = network.sampleBelow(2) === 0;
      },
    };
  };

  const entries = [createEntry('entry-1'), createEntry('entry-2')];

  const settleIncarnation = async (node: string, incarnation: number): Promise<void> => {
    await network.wait(network.sampleBelow(30));
    if (!rules.endedIncarnations) return;
    ledger.apply(0, { type: 'endIncarnation', node, below: incarnation + 1, at: now });
  };

  const stopEntry = async (): Promise<void> => {
    const index = network.sampleBelow(entries.length);
    const old = entries[index]!;
    old.stop();
    entries[index] = createEntry(old.owner.node);
    await settleIncarnation(old.owner.node, old.owner.incarnation);
  };

  const stopAgent = async (): Promise<void> => {
    const agent = agents[network.sampleBelow(agents.length)]!;
    if (!agent.isUp()) return;
    const { node } = agent.member();
    if (network.sampleBelow(3) === 0) agent.freeze();
    await network.wait(network.sampleBelow(10));
    if (!agent.isUp()) return;
    const old = agent.kill();
    await network.wait(network.sampleBelow(10));
    agent.start(createIncarnation());
    await settleIncarnation(node, old);
  };

  const readAnswer = async (
    request: RunRequest,
    entry: ModelEntry,
    callerAbort: AbortController,
  ) => {
    const answer = await entry.runner.run(request);
    const chunks: Buffer[] = [];
    for await (const chunk of answer.chunks) {
      chunks.push(chunk);
      if (request.key === undefined && network.hasChance(3)) callerAbort.abort();
    }
    return { answer: Buffer.concat(chunks).toString(), version: answer.version };
  };

  const callOnce = async (fields: Omit<CallRecord, 'requestId'>): Promise<CallRecord> => {
    nextRequest += 1;
    const requestId = `r${nextRequest}`;
    const callerAbort = new AbortController();
    const request = {
      ...fields,
      requestId,
      organisation: ORGANISATION,
      task: { class: 'normal' },
      model: 'm',
      keepsAnswer: fields.key !== undefined,
      isBuffered: network.sampleBelow(2) === 0,
      isDeferred: false,
      firstAttempt: 0,
      method: 'POST',
      path: '/',
      headers: {},
      body: Buffer.from(fields.body),
      signal: callerAbort.signal,
    } as unknown as RunRequest;
    const entry = entries[network.sampleBelow(entries.length)]!;
    try {
      return { ...fields, requestId, ...(await readAnswer(request, entry, callerAbort)) };
    } catch (cause) {
      return { ...fields, requestId, error: cause as RouterError };
    }
  };

  const runCaller = async (index: number): Promise<void> => {
    const key = network.sampleBelow(2) === 0 ? `key-${index}` : undefined;
    const session = network.sampleBelow(2) === 0 ? 'session' : undefined;
    const fields = {
      body: `body-${index}`,
      key,
      session,
      idempotent: network.sampleBelow(2) === 0,
    };
    await network.wait(network.sampleBelow(40));
    for (let tries = 0; tries < TRIES; tries += 1) {
      const record = await callOnce(fields);
      calls.push(record);
      if (record.answer !== undefined || key === undefined) return;
      await network.wait(network.sampleBelow(20));
    }
  };

  const deferOnce = async (requestId: string, idempotent: boolean): Promise<boolean> => {
    const chat = { model: 'm', messages: [{ role: 'user', content: requestId }] };
    const body = Buffer.from(JSON.stringify(chat)).toString('base64');
    const result = await propose({
      type: 'defer',
      organisation: ORGANISATION.name,
      requestId,
      session: rules.sessionOrder ? 'drafts' : requestId,
      idempotent,
      request: { path: '/', headers: {}, body },
      at: now,
    }).catch(() => undefined);
    return result !== undefined;
  };

  const runDeferring = async (): Promise<void> => {
    for (let index = 0; index < DEFERRED; index += 1) {
      const record = { requestId: `d${index}`, idempotent: network.sampleBelow(2) === 0 };
      while (!(await deferOnce(record.requestId, record.idempotent))) await network.wait();
      deferred.push(record);
      await network.wait(network.sampleBelow(30));
      entries[network.sampleBelow(entries.length)]!.deferred.pollNow();
    }
  };

  // Entries poll for work while the clock advances, so that released requests become due.
  const drainDeferred = async (): Promise<void> => {
    for (let round = 0; round < DRAIN_ROUNDS && ledger.countQueues() > 0; round += 1) {
      now += ROUND_MS;
      entries.forEach((entry) => entry.deferred.pollNow());
      await network.wait(30);
    }
  };

  const runFaults = async (): Promise<void> => {
    for (let fault = 0; fault < 3; fault += 1) {
      await network.wait(network.sampleBelow(60));
      await (network.sampleBelow(2) === 0 ? stopEntry() : stopAgent());
      await Promise.all(agents.map((agent) => agent.report()));
    }
  };

  // Waits until all runs have ended and are reported to the ledger.
  const drainAll = async (): Promise<void> => {
    network.stopFaults();
    await drainDeferred();
    await network.wait(400);
    await Promise.all(agents.map((agent) => agent.report()));
    await network.wait(50);
    ledger.apply(0, { type: 'expire', at: now });
  };

  await Promise.all([
    runFaults(),
    runDeferring(),
    ...Array.from({ length: REQUESTS }, (_value, index) => runCaller(index)),
  ]);
  await drainAll();
  const live = new Set(agents.map((agent) => agent.member().incarnation));
  return { calls, runs, deferred, ledger, intents, live };
};
