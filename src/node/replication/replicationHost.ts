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

/** Dependencies and settings of the replication in one process. */
export interface ReplicationHostOptions {
  readonly node: string;
  /** Address of this host; needed only if `peers` does not contain it. */
  readonly address?: string;
  /** Whether this host may form a group. A host that may not can still join one. Default: true. */
  readonly canForm?: boolean;
  /** Whether hosts that are not listed in `peers` may join. Default: false. */
  readonly hasOpenMembership?: boolean;
  /** Whether the first election timeout after a start is short. Default: false. */
  readonly campaignsEarly?: boolean;
  /** All control hosts of the initial group, including this one unless it joins later. */
  readonly peers: readonly { readonly node: string; readonly address: string }[];
  /** Folder of the durable state, with one subfolder per group. */
  readonly data: string;
  readonly rpc: RpcClient;
  readonly log: Logger;
  /** Called when the disk fails. The process must exit. */
  readonly handleFailure: (cause: unknown) => void;
  readonly files?: DurableFiles;
}

/** The node that replaces a lost host. */
export interface ReplacementNode {
  readonly node: string;
  /** IP address and port, `host:port`. */
  readonly address: string;
}

/** The result of a replacement in one group. */
export interface GroupReplacement {
  readonly group: string;
  /** Why the group refused: `still_answering`, `pending_change`, `unknown_node` or `no_leader`. */
  readonly refusal?: string;
}

/** The replication groups of one process. */
export interface ReplicationHost {
  readonly openGroup: <Command, Result>(
    group: string,
    machine: StateMachine<Command, Result>,
  ) => Promise<Replica<Command, Result>>;
  /** Replaces a lost host with another node in every group, through the leader of each group. */
  readonly replaceMember: (
    lost: string,
    by: ReplacementNode,
  ) => Promise<readonly GroupReplacement[]>;
  /** The RPC methods for other control hosts. */
  readonly methods: RpcMethods;
  readonly stop: () => Promise<void>;
}

const TICK_MS = 50;
const DISK_FAILURE_EXIT_CODE = 1;

/**
 * Creates a handler that exits the process when its disk fails, before it sends another message.
 */
export const createDiskFailureHandler =
  (log: Logger) =>
  (cause: unknown): void => {
    log.fatal({ err: cause }, 'write to the data folder failed; exiting');
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

/** Starts the replication in one process. All groups share one tick timer and one transport. */
export const createReplicationHost = (options: ReplicationHostOptions): ReplicationHost => {
  const { node, peers, data, rpc, log } = options;
  const listedAddress = peers.find((peer) => peer.node === node)?.address;
  const address = listedAddress ?? options.address;
  // A host that is not listed in `peers` must not form a group.
  const canForm = listedAddress !== undefined && options.canForm !== false;
  if (address === undefined) {
    const message = `peers does not list node '${node}' and no address is given`;
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
      const isAlone = peers.length === 1 && listedAddress !== undefined;
      const folder = join(data, group);
      const store = await openStore({ folder, isAlone, canForm, files: options.files });
      if (store.damage !== undefined) {
        log.error(
          { group, reason: store.damage },
          'moved damaged data aside; joining the group with a blank store',
        );
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
