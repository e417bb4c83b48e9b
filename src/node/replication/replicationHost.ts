import { join } from 'node:path';
import { z } from 'zod';
import { createError } from '../errors';
import type { Logger } from '../log';
import { createMethod, type RpcClient, type RpcMethods } from '../rpc';
import type { Message } from './core';
import { openStore, type DurableFiles } from './disk';
import { createReplica, type HostedReplica } from './replica';
import { createTransport, type DeliverAnswer, type GroupMessage } from './transport';
import type { Replica, StateMachine } from './types';

/** Parts and settings of the replication of one process. */
export interface ReplicationHostOptions {
  readonly node: string;
  /** Address of this host, needed only when `peers` does not list it. */
  readonly address?: string;
  /** False for a host that may join a group but not form one; it is true by default. */
  readonly canForm?: boolean;
  /** Whether hosts that nobody named may join; false by default. */
  readonly hasOpenMembership?: boolean;
  /** Whether a group campaigns soon after a start; false by default. */
  readonly campaignsEarly?: boolean;
  /** All control hosts of the first group, this one included unless it joins later. */
  readonly peers: readonly { readonly node: string; readonly address: string }[];
  /** Folder of the durable state; each group has a folder of its own in it. */
  readonly data: string;
  readonly rpc: RpcClient;
  readonly log: Logger;
  /** Called when the disk fails; the process must end. */
  readonly handleFailure: (cause: unknown) => void;
  readonly files?: DurableFiles;
}

/** A node that takes a lost host's place. */
export interface ReplacementNode {
  readonly node: string;
  /** IP address and port, `host:port`. */
  readonly address: string;
}

/** The answer of one group to a replacement. */
export interface GroupReplacement {
  readonly group: string;
  /** Why the group did not take it: `still_answering`, `pending_change`, `unknown_node`, `no_leader`. */
  readonly refusal?: string;
}

/** The replicated groups of one process. */
export interface ReplicationHost {
  readonly openGroup: <Command, Result>(
    group: string,
    machine: StateMachine<Command, Result>,
  ) => Promise<Replica<Command, Result>>;
  /** Gives the place of a lost host to another node in every group, at each group's leader. */
  readonly replaceMember: (
    lost: string,
    by: ReplacementNode,
  ) => Promise<readonly GroupReplacement[]>;
  /** The methods that other control hosts call. */
  readonly methods: RpcMethods;
  readonly stop: () => Promise<void>;
}

const TICK_MS = 50;
const DISK_FAILURE_EXIT_CODE = 1;

/** Creates what ends the process when its disk fails: after that it must not say another word. */
export const createDiskFailureHandler =
  (log: Logger) =>
  (cause: unknown): void => {
    log.fatal({ err: cause }, 'a write failed, the process ends');
    process.exit(DISK_FAILURE_EXIT_CODE);
  };

const replaceParams = z.strictObject({
  group: z.string(),
  lost: z.string(),
  by: z.strictObject({ node: z.string().min(1).max(64), address: z.string() }),
});

const deliverParams = z.strictObject({
  messages: z
    .array(z.strictObject({ group: z.string(), message: z.custom<Message>() }))
    .max(10_000),
});

/** Starts the replication of one process: one clock and one transport for all its groups. */
export const createReplicationHost = (options: ReplicationHostOptions): ReplicationHost => {
  const { node, peers, data, rpc, log } = options;
  const listed = peers.find((peer) => peer.node === node)?.address;
  const address = listed ?? options.address;
  // A host that the others do not know of must not take itself for a founder.
  const canForm = listed !== undefined && options.canForm !== false;
  if (address === undefined) {
    const message = `peers has no node '${node}'`;
    throw createError({ type: 'invalid_request', message, step: 'replication.start' });
  }
  const replicas = new Map<string, HostedReplica<never, unknown>>();

  const handleGroupMessages = async (messages: readonly GroupMessage[]): Promise<void> => {
    const groups = new Set(messages.map(({ group }) => group));
    const received = [...groups].map((name) => {
      const own = messages.filter(({ group }) => group === name);
      return replicas.get(name)?.receive(own.map(({ message }) => message));
    });
    await Promise.all(received);
  };

  const transport = createTransport({
    rpc,
    receive: (messages) => {
      handleGroupMessages(messages).catch(options.handleFailure);
    },
    handleLost: ({ group, message }) => replicas.get(group)?.handleUnreachable(message.to.store),
  });

  const handleDeliver = async (messages: readonly GroupMessage[]): Promise<DeliverAnswer> => {
    await handleGroupMessages(messages);
    const caller = messages[0]?.message.from.address;
    return { messages: caller === undefined ? [] : transport.takePending(caller) };
  };

  const replaceLocally = async (
    group: string,
    lost: string,
    by: ReplacementNode,
  ): Promise<GroupReplacement> => {
    const answer = await replicas.get(group)!.replaceMember(lost, by);
    return answer.caseOf<GroupReplacement>({
      Right: () => ({ group }),
      Left: (error) => ({ group, refusal: error.message }),
    });
  };

  const replaceInGroup = async (
    group: string,
    lost: string,
    by: ReplacementNode,
  ): Promise<GroupReplacement> => {
    const { leader, leaderAddress } = replicas.get(group)!.status();
    if (leader === node || leader === '') return replaceLocally(group, lost, by);
    const params = { group, lost, by };
    const answer = await rpc.call<GroupReplacement>(leaderAddress, 'replication.replace', params);
    return answer.unsafeCoerce();
  };

  const timer = setInterval(() => {
    replicas.forEach((replica) => replica.tick());
    transport.tick();
  }, TICK_MS);

  return {
    openGroup: async (group, machine) => {
      const isAlone = peers.length === 1 && listed !== undefined;
      const folder = join(data, group);
      const store = await openStore({ folder, isAlone, canForm, files: options.files });
      if (store.damage !== undefined) {
        log.error({ group, reason: store.damage }, 'damaged data set aside, joining as blank');
      }
      const replica = createReplica({
        group,
        self: { node, address },
        peers,
        machine,
        store,
        send: (messages) => transport.send(messages.map((message) => ({ group, message }))),
        log,
        campaignsEarly: options.campaignsEarly,
        hasOpenMembership: options.hasOpenMembership,
        handleFailure: options.handleFailure,
      });
      replicas.set(group, replica);
      return replica;
    },
    replaceMember: (lost, by) =>
      Promise.all([...replicas.keys()].map((group) => replaceInGroup(group, lost, by))),
    methods: {
      'replication.replace': createMethod(replaceParams, ({ group, lost, by }) =>
        replaceLocally(group, lost, by),
      ),
      'replication.deliver': createMethod(deliverParams, ({ messages }) => handleDeliver(messages)),
    },
    stop: async () => {
      await Promise.all([...replicas.values()].map((replica) => replica.stop()));
      clearInterval(timer);
      transport.stop();
    },
  };
};
