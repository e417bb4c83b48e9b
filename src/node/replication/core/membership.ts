import { appendMembers } from './replicate';
import { isSelf, sendAfterSync, type CoreState, type DiscoveredStore } from './state';
import type { FormBody, HelloAnswerBody, HelloBody, Member, Message, Peer } from './types';

const HELLO_INTERVAL_TICKS = 10;
/** Ticks without a leader after which a member sends hellos again. */
const LEADER_LOST_TICKS = 40;
/** Ticks without an answer after which a store may be replaced. */
const UNRESPONSIVE_TICKS = 40;
/** Maximum number of committed entries that a learner may lack when it becomes a voter. */
const MAX_PROMOTION_LAG_ENTRIES = 200;

const isBlank = (state: CoreState): boolean => state.identity.groupId === '';

const updateIdentity = (state: CoreState, groupId: string, members: readonly Member[]): void => {
  state.identity = { ...state.identity, groupId, members };
  state.hasNewIdentity = true;
  if (members.length > 0) state.log.installSnapshot({ index: 0, term: 0, members, size: 0 });
};

/** Binds a blank store to a group whose leader sends an append or a snapshot to its store id. */
export const bindBlankStore = (state: CoreState, message: Message): void => {
  const { type } = message.body;
  const isFromLeader = type === 'append' || type === 'snapshot';
  if (isBlank(state) && isFromLeader && message.groupId !== '') {
    updateIdentity(state, message.groupId, []);
  }
};

const createDiscoveredStore = (
  state: CoreState,
  message: Message,
  isBlankStore: boolean,
): DiscoveredStore => ({
  peer: message.from,
  groupId: message.groupId,
  isBlank: isBlankStore,
  seenAt: state.tick,
});

/** Answers a store that has no leader. A leader records it as a candidate member. */
export const handleHello = (state: CoreState, message: Message<HelloBody>): void => {
  const { groupId, from } = message;
  const isOwn = groupId === '' || groupId === state.identity.groupId;
  if (state.role === 'leader' && isOwn) {
    state.hellos.set(from.node, createDiscoveredStore(state, message, groupId === ''));
  }
  const { members } = state.identity;
  const hasMissedForm = groupId === '' && members.some((member) => member.store === from.store);
  if (hasMissedForm) sendAfterSync(state, from, { type: 'form', members });
  const canForm = isBlank(state) && state.identity.canForm;
  const leader = state.options.hasOpenMembership ? state.leader : undefined;
  sendAfterSync(state, from, { type: 'helloAnswer', isBlank: canForm, ...(leader && { leader }) });
};

const hasOnlyBlankPeers = (state: CoreState): boolean =>
  state.options.peers.every(({ node }) => {
    if (node === state.options.self.node) return true;
    const answer = state.helloAnswers.get(node);
    return (
      answer !== undefined &&
      answer.isBlank &&
      state.tick - answer.seenAt < 2 * HELLO_INTERVAL_TICKS
    );
  });

const isFirstPeer = (state: CoreState): boolean =>
  state.options.peers.every(({ node }) => state.options.self.node <= node);

const createGroup = (state: CoreState): void => {
  const groupId = state.options.createGroupId();
  const members = state.options.peers.map(({ node, address }): Member => {
    const isOwn = node === state.options.self.node;
    const store = isOwn ? state.identity.store : state.helloAnswers.get(node)!.peer.store;
    return { node, store, address, role: 'voter' };
  });
  updateIdentity(state, groupId, members);
  const others = members.filter((member) => !isSelf(state, member));
  others.forEach((member) => sendAfterSync(state, member, { type: 'form', members }));
};

/** Records the state of another store from its hello answer. */
export const handleHelloAnswer = (state: CoreState, message: Message<HelloAnswerBody>): void => {
  const { from, body } = message;
  state.helloAnswers.set(from.node, createDiscoveredStore(state, message, body.isBlank));
  if (body.leader) state.leaderHint = body.leader;
  const { groupId } = message;
  const isForeign = groupId !== '' && !isBlank(state) && groupId !== state.identity.groupId;
  if (isForeign) state.foreignGroupNode = from.node;
};

/** Adds a blank store to the group that the first host forms. */
export const handleForm = (state: CoreState, message: Message<FormBody>): void => {
  const isListed = message.body.members.some((member) => isSelf(state, member));
  if (!isBlank(state) || !state.identity.canForm || !isListed) return;
  updateIdentity(state, message.groupId, message.body.members);
};

/**
 * Sends hellos while this store has no leader. The first host by name forms the group once all
 * listed hosts have answered that they are blank.
 */
export const advanceJoining = (state: CoreState): void => {
  if (state.role === 'leader') return;
  if (isBlank(state) && state.identity.canForm && isFirstPeer(state) && hasOnlyBlankPeers(state)) {
    createGroup(state);
    return;
  }
  const isLeaderless = isBlank(state) || state.tick - state.leaderMessageAt >= LEADER_LOST_TICKS;
  const isDue = state.tick % HELLO_INTERVAL_TICKS === 1 || state.tick === 1;
  if (!isLeaderless || !isDue) return;
  const otherMembers = state.log.members().members.filter((member) => !isSelf(state, member));
  const listedPeers = state.options.peers.filter(({ node }) => node !== state.options.self.node);
  const hintedLeaders = state.leaderHint ? [state.leaderHint] : [];
  const nodesByAddress = new Map(
    [...listedPeers, ...otherMembers, ...hintedLeaders].map((peer) => [peer.address, peer.node]),
  );
  nodesByAddress.delete(state.options.self.address);
  for (const [address, node] of nodesByAddress) {
    sendAfterSync(state, { node, store: '', address }, { type: 'hello' });
  }
};

const isUnresponsive = (state: CoreState, member: Member): boolean => {
  if (isSelf(state, member)) return false;
  const progress = state.progress.get(member.store);
  return progress !== undefined && state.tick - progress.answeredAt >= UNRESPONSIVE_TICKS;
};

const isCaughtUp = (state: CoreState, member: Member): boolean => {
  const progress = state.progress.get(member.store);
  if (!progress || progress.mode !== 'replicate') return false;
  return progress.matchIndex >= state.commit - MAX_PROMOTION_LAG_ENTRIES && progress.matchIndex > 0;
};

type NextMembers = readonly Member[] | undefined;

const choosePromotion = (state: CoreState, members: readonly Member[]): NextMembers => {
  const learner = members.find((member) => member.role === 'learner' && isCaughtUp(state, member));
  if (!learner) return undefined;
  const replaced = members.find(
    (member) => member.node === learner.node && member.role === 'voter',
  );
  // The old voter is removed first. Removing and adding a voter in one step could allow two quorums
  // that share no host.
  if (replaced)
    return isUnresponsive(state, replaced)
      ? members.filter((member) => member !== replaced)
      : undefined;
  return members.map((member) => (member === learner ? { ...member, role: 'voter' } : member));
};

const chooseJoin = (
  state: CoreState,
  members: readonly Member[],
  discovered: DiscoveredStore,
): NextMembers => {
  const { peer } = discovered;
  const existing = members.find((member) => member.store === peer.store);
  if (existing) {
    if (existing.address === peer.address) return undefined;
    return members.map((member) => (member === existing ? { ...member, ...peer } : member));
  }
  const sameNodeMembers = members.filter((member) => member.node === peer.node);
  if (sameNodeMembers.length === 0 && !state.options.hasOpenMembership) return undefined;
  if (!sameNodeMembers.every((member) => isUnresponsive(state, member))) return undefined;
  const kept = members.filter(
    (member) => !(member.node === peer.node && member.role === 'learner'),
  );
  return [...kept, { ...peer, role: 'learner' }];
};

// An even number of voters tolerates no more failures than one voter fewer, so an unresponsive
// voter can be removed.
const chooseRemoval = (state: CoreState, members: readonly Member[]): NextMembers => {
  if (!state.options.hasOpenMembership) return undefined;
  const voters = members.filter((member) => member.role === 'voter');
  const unresponsive = members.filter((member) => isUnresponsive(state, member));
  const learner = unresponsive.find((member) => member.role === 'learner');
  const voter = unresponsive.find((member) => member.role === 'voter');
  const removed = learner ?? (voters.length % 2 === 0 ? voter : undefined);
  return removed && members.filter((member) => member !== removed);
};

const hasPendingChange = (state: CoreState): boolean => {
  const { index } = state.log.members();
  return index > state.commit || state.log.findTerm(state.commit) !== state.term;
};

/** Appends the next membership change on the leader, one change at a time. */
export const advanceMembership = (state: CoreState): void => {
  if (state.role !== 'leader' || hasPendingChange(state)) return;
  const { members } = state.log.members();
  const recentHellos = [...state.hellos.values()].filter(
    (known) => state.tick - known.seenAt < 4 * HELLO_INTERVAL_TICKS,
  );
  const joinChanges = recentHellos.map((known) => chooseJoin(state, members, known));
  const nextMembers =
    choosePromotion(state, members) ??
    chooseRemoval(state, members) ??
    joinChanges.find((join) => join !== undefined);
  if (nextMembers) appendMembers(state, nextMembers);
};

/** The reason why a host cannot be replaced now. */
export type ReplaceRefusal = 'no_leader' | 'pending_change' | 'unknown_node' | 'still_answering';

/**
 * Replaces a lost host with another node permanently. The lost store keeps its vote until a blank
 * store of the new node has caught up.
 */
export const replaceMember = (
  state: CoreState,
  node: string,
  by: Omit<Peer, 'store'>,
): ReplaceRefusal | undefined => {
  if (state.role !== 'leader') return 'no_leader';
  if (hasPendingChange(state)) return 'pending_change';
  const { members } = state.log.members();
  const lostVoter = members.find((member) => member.node === node && member.role === 'voter');
  const isNodeTaken = by.node !== node && members.some((member) => member.node === by.node);
  if (!lostVoter || isNodeTaken) return 'unknown_node';
  if (!isUnresponsive(state, lostVoter)) return 'still_answering';
  appendMembers(
    state,
    members.map((member) => (member.node === node ? { ...member, ...by } : member)),
  );
  return undefined;
};
