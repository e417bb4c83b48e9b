import { appendMembers } from './replicate';
import { isSelf, sendAfterSync, type CoreState, type DiscoveredStore } from './state';
import type { FormBody, HelloAnswerBody, HelloBody, Member, Message, Peer } from './types';

const HELLO_INTERVAL_TICKS = 10;
/** Ticks without a leader after which a member makes itself known again. */
const LEADER_LOST_TICKS = 40;
/** Ticks that a store must be silent before another takes its place. */
const UNRESPONSIVE_TICKS = 40;
/** Entries that a learner may lack when it becomes a voter. */
const MAX_PROMOTION_LAG_ENTRIES = 200;

const isBlank = (state: CoreState): boolean => state.identity.groupId === '';

const updateIdentity = (state: CoreState, groupId: string, members: readonly Member[]): void => {
  state.identity = { ...state.identity, groupId, members };
  state.hasNewIdentity = true;
  if (members.length > 0) state.log.installSnapshot({ index: 0, term: 0, members, size: 0 });
};

/** Lets a blank store join the group whose leader has called it by its store id. */
export const bindBlankStore = (state: CoreState, message: Message): void => {
  const { type } = message.body;
  const isCall = type === 'append' || type === 'snapshot';
  if (isBlank(state) && isCall && message.groupId !== '') {
    updateIdentity(state, message.groupId, []);
  }
};

const createDiscoveredStore = (
  state: CoreState,
  message: Message,
  blank: boolean,
): DiscoveredStore => ({
  peer: message.from,
  groupId: message.groupId,
  isBlank: blank,
  seenAt: state.tick,
});

/** Answers a store without a leader; a leader remembers it as one that may want to join. */
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

/** Notes the state of another store; the first host forms the group once all are blank. */
export const handleHelloAnswer = (state: CoreState, message: Message<HelloAnswerBody>): void => {
  const { from, body } = message;
  state.helloAnswers.set(from.node, createDiscoveredStore(state, message, body.isBlank));
  if (body.leader) state.leaderHint = body.leader;
  const { groupId } = message;
  const isForeign = groupId !== '' && !isBlank(state) && groupId !== state.identity.groupId;
  if (isForeign) state.foreignGroupNode = from.node;
};

/** Takes a blank store into the group that the first host forms. */
export const handleForm = (state: CoreState, message: Message<FormBody>): void => {
  const isListed = message.body.members.some((member) => isSelf(state, member));
  if (!isBlank(state) || !state.identity.canForm || !isListed) return;
  updateIdentity(state, message.groupId, message.body.members);
};

/** Makes a store without a leader known to the others, and forms a group of blank stores. */
export const advanceJoining = (state: CoreState): void => {
  if (state.role === 'leader') return;
  if (isBlank(state) && state.identity.canForm && isFirstPeer(state) && hasOnlyBlankPeers(state)) {
    createGroup(state);
    return;
  }
  const isLost = isBlank(state) || state.tick - state.leaderMessageAt >= LEADER_LOST_TICKS;
  const isDue = state.tick % HELLO_INTERVAL_TICKS === 1 || state.tick === 1;
  if (!isLost || !isDue) return;
  const known = state.log.members().members.filter((member) => !isSelf(state, member));
  const listed = state.options.peers.filter(({ node }) => node !== state.options.self.node);
  const named = state.leaderHint ? [state.leaderHint] : [];
  const byAddress = new Map(
    [...listed, ...known, ...named].map((peer) => [peer.address, peer.node]),
  );
  byAddress.delete(state.options.self.address);
  for (const [address, node] of byAddress) {
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
  const old = members.find((member) => member.node === learner.node && member.role === 'voter');
  // Two steps, since one that removes and adds a voter could leave two quorums without a common host.
  if (old)
    return isUnresponsive(state, old) ? members.filter((member) => member !== old) : undefined;
  return members.map((member) => (member === learner ? { ...member, role: 'voter' } : member));
};

const chooseJoin = (
  state: CoreState,
  members: readonly Member[],
  known: DiscoveredStore,
): NextMembers => {
  const { peer } = known;
  const same = members.find((member) => member.store === peer.store);
  if (same) {
    if (same.address === peer.address) return undefined;
    return members.map((member) => (member === same ? { ...member, ...peer } : member));
  }
  const sameNodeMembers = members.filter((member) => member.node === peer.node);
  if (sameNodeMembers.length === 0 && !state.options.hasOpenMembership) return undefined;
  if (!sameNodeMembers.every((member) => isUnresponsive(state, member))) return undefined;
  const kept = members.filter(
    (member) => !(member.node === peer.node && member.role === 'learner'),
  );
  return [...kept, { ...peer, role: 'learner' }];
};

// An even list bears no more losses than one shorter by a voter, so that a silent one may go.
const chooseRemoval = (state: CoreState, members: readonly Member[]): NextMembers => {
  if (!state.options.hasOpenMembership) return undefined;
  const voters = members.filter((member) => member.role === 'voter');
  const silent = members.filter((member) => isUnresponsive(state, member));
  const learner = silent.find((member) => member.role === 'learner');
  const voter = silent.find((member) => member.role === 'voter');
  const lost = learner ?? (voters.length % 2 === 0 ? voter : undefined);
  return lost && members.filter((member) => member !== lost);
};

const hasPendingChange = (state: CoreState): boolean => {
  const { index } = state.log.members();
  return index > state.commit || state.log.findTerm(state.commit) !== state.term;
};

/** Takes the next step of membership at the leader: one change at a time. */
export const advanceMembership = (state: CoreState): void => {
  if (state.role !== 'leader' || hasPendingChange(state)) return;
  const { members } = state.log.members();
  const recent = [...state.hellos.values()].filter(
    (known) => state.tick - known.seenAt < 4 * HELLO_INTERVAL_TICKS,
  );
  const joins = recent.map((known) => chooseJoin(state, members, known));
  const nextMembers =
    choosePromotion(state, members) ??
    chooseRemoval(state, members) ??
    joins.find((join) => join !== undefined);
  if (nextMembers) appendMembers(state, nextMembers);
};

/** Why a host cannot be replaced now. */
export type ReplaceRefusal = 'no_leader' | 'pending_change' | 'unknown_node' | 'still_answering';

/**
 * Gives a host's place to another node for good. The lost store keeps its vote until a blank store
 * of the new node has caught up.
 */
export const replaceMember = (
  state: CoreState,
  node: string,
  by: Omit<Peer, 'store'>,
): ReplaceRefusal | undefined => {
  if (state.role !== 'leader') return 'no_leader';
  if (hasPendingChange(state)) return 'pending_change';
  const { members } = state.log.members();
  const old = members.find((member) => member.node === node && member.role === 'voter');
  const isTaken = by.node !== node && members.some((member) => member.node === by.node);
  if (!old || isTaken) return 'unknown_node';
  if (!isUnresponsive(state, old)) return 'still_answering';
  appendMembers(
    state,
    members.map((member) => (member.node === node ? { ...member, ...by } : member)),
  );
  return undefined;
};
