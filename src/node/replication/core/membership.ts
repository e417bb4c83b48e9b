import { appendMembers } from './replicate';
import { isSelf, sendLater, type CoreState, type KnownStore } from './state';
import type { FormBody, HelloAnswerBody, HelloBody, Member, Message, Peer } from './types';

const HELLO_TICKS = 10;
/** Ticks without a leader after which a member sends hellos again. */
const LOST_TICKS = 40;
/** Ticks without an answer after which a store may be replaced. */
const SILENT_TICKS = 40;
/** Maximum number of committed entries that a learner may lack when it becomes a voter. */
const CATCH_UP_ENTRIES = 200;

const isBlank = (state: CoreState): boolean => state.identity.groupId === '';

const updateIdentity = (state: CoreState, groupId: string, members: readonly Member[]): void => {
  state.identity = { ...state.identity, groupId, members };
  state.hasNewIdentity = true;
  if (members.length > 0) state.log.restore({ index: 0, term: 0, members, size: 0 });
};

/** Binds a blank store to a group whose leader sends an append or a snapshot to its store id. */
export const handleInvitation = (state: CoreState, message: Message): void => {
  const { type } = message.body;
  const isCall = type === 'append' || type === 'snapshot';
  if (isBlank(state) && isCall && message.groupId !== '') {
    updateIdentity(state, message.groupId, []);
  }
};

const convertToKnown = (state: CoreState, message: Message, blank: boolean): KnownStore => ({
  peer: message.from,
  groupId: message.groupId,
  isBlank: blank,
  at: state.tick,
});

/** Answers a store that has no leader. A leader records it as a candidate member. */
export const handleHello = (state: CoreState, message: Message<HelloBody>): void => {
  const { groupId, from } = message;
  const isOwn = groupId === '' || groupId === state.identity.groupId;
  if (state.role === 'leader' && isOwn) {
    state.hellos.set(from.node, convertToKnown(state, message, groupId === ''));
  }
  const { members } = state.identity;
  const hasMissedForm = groupId === '' && members.some((member) => member.store === from.store);
  if (hasMissedForm) sendLater(state, from, { type: 'form', members });
  const canForm = isBlank(state) && state.identity.canForm;
  const leader = state.options.hasOpenMembership ? state.leader : undefined;
  sendLater(state, from, { type: 'helloAnswer', isBlank: canForm, ...(leader && { leader }) });
};

const hasAllBlank = (state: CoreState): boolean =>
  state.options.peers.every(({ node }) => {
    if (node === state.options.self.node) return true;
    const answer = state.answers.get(node);
    return answer !== undefined && answer.isBlank && state.tick - answer.at < 2 * HELLO_TICKS;
  });

const isFirstPeer = (state: CoreState): boolean =>
  state.options.peers.every(({ node }) => state.options.self.node <= node);

const createGroup = (state: CoreState): void => {
  const groupId = state.options.createGroupId();
  const members = state.options.peers.map(({ node, address }): Member => {
    const isOwn = node === state.options.self.node;
    const store = isOwn ? state.identity.store : state.answers.get(node)!.peer.store;
    return { node, store, address, role: 'voter' };
  });
  updateIdentity(state, groupId, members);
  const others = members.filter((member) => !isSelf(state, member));
  others.forEach((member) => sendLater(state, member, { type: 'form', members }));
};

/** Records the state of another store from its hello answer. */
export const handleHelloAnswer = (state: CoreState, message: Message<HelloAnswerBody>): void => {
  const { from, body } = message;
  state.answers.set(from.node, convertToKnown(state, message, body.isBlank));
  if (body.leader) state.namedLeader = body.leader;
  const { groupId } = message;
  const isForeign = groupId !== '' && !isBlank(state) && groupId !== state.identity.groupId;
  if (isForeign) state.foreignNode = from.node;
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
  if (isBlank(state) && state.identity.canForm && isFirstPeer(state) && hasAllBlank(state)) {
    createGroup(state);
    return;
  }
  const isLost = isBlank(state) || state.tick - state.leaderAt >= LOST_TICKS;
  const isDue = state.tick % HELLO_TICKS === 1 || state.tick === 1;
  if (!isLost || !isDue) return;
  const known = state.log.members().members.filter((member) => !isSelf(state, member));
  const listed = state.options.peers.filter(({ node }) => node !== state.options.self.node);
  const named = state.namedLeader ? [state.namedLeader] : [];
  const byAddress = new Map(
    [...listed, ...known, ...named].map((peer) => [peer.address, peer.node]),
  );
  byAddress.delete(state.options.self.address);
  for (const [address, node] of byAddress) {
    sendLater(state, { node, store: '', address }, { type: 'hello' });
  }
};

const isSilent = (state: CoreState, member: Member): boolean => {
  if (isSelf(state, member)) return false;
  const progress = state.progress.get(member.store);
  return progress !== undefined && state.tick - progress.answeredAt >= SILENT_TICKS;
};

const isCaughtUp = (state: CoreState, member: Member): boolean => {
  const progress = state.progress.get(member.store);
  if (!progress || progress.mode !== 'replicate') return false;
  return progress.match >= state.commit - CATCH_UP_ENTRIES && progress.match > 0;
};

type Plan = readonly Member[] | undefined;

const choosePromotion = (state: CoreState, members: readonly Member[]): Plan => {
  const learner = members.find((member) => member.role === 'learner' && isCaughtUp(state, member));
  if (!learner) return undefined;
  const old = members.find((member) => member.node === learner.node && member.role === 'voter');
  // The old voter is removed first. Removing and adding a voter in one step could allow two quorums
  // that share no host.
  if (old) return isSilent(state, old) ? members.filter((member) => member !== old) : undefined;
  return members.map((member) => (member === learner ? { ...member, role: 'voter' } : member));
};

const chooseJoin = (state: CoreState, members: readonly Member[], known: KnownStore): Plan => {
  const { peer } = known;
  const same = members.find((member) => member.store === peer.store);
  if (same) {
    if (same.address === peer.address) return undefined;
    return members.map((member) => (member === same ? { ...member, ...peer } : member));
  }
  const namesakes = members.filter((member) => member.node === peer.node);
  if (namesakes.length === 0 && !state.options.hasOpenMembership) return undefined;
  if (!namesakes.every((member) => isSilent(state, member))) return undefined;
  const kept = members.filter(
    (member) => !(member.node === peer.node && member.role === 'learner'),
  );
  return [...kept, { ...peer, role: 'learner' }];
};

// An even number of voters tolerates no more failures than one voter fewer, so an unresponsive
// voter can be removed.
const chooseRemoval = (state: CoreState, members: readonly Member[]): Plan => {
  if (!state.options.hasOpenMembership) return undefined;
  const voters = members.filter((member) => member.role === 'voter');
  const silent = members.filter((member) => isSilent(state, member));
  const learner = silent.find((member) => member.role === 'learner');
  const voter = silent.find((member) => member.role === 'voter');
  const lost = learner ?? (voters.length % 2 === 0 ? voter : undefined);
  return lost && members.filter((member) => member !== lost);
};

const hasPendingChange = (state: CoreState): boolean => {
  const { index } = state.log.members();
  return index > state.commit || state.log.findTerm(state.commit) !== state.term;
};

/** Appends the next membership change on the leader, one change at a time. */
export const advanceMembership = (state: CoreState): void => {
  if (state.role !== 'leader' || hasPendingChange(state)) return;
  const { members } = state.log.members();
  const recent = [...state.hellos.values()].filter(
    (known) => state.tick - known.at < 4 * HELLO_TICKS,
  );
  const joins = recent.map((known) => chooseJoin(state, members, known));
  const plan =
    choosePromotion(state, members) ??
    chooseRemoval(state, members) ??
    joins.find((join) => join !== undefined);
  if (plan) appendMembers(state, plan);
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
  const old = members.find((member) => member.node === node && member.role === 'voter');
  const isTaken = by.node !== node && members.some((member) => member.node === by.node);
  if (!old || isTaken) return 'unknown_node';
  if (!isSilent(state, old)) return 'still_answering';
  appendMembers(
    state,
    members.map((member) => (member.node === node ? { ...member, ...by } : member)),
  );
  return undefined;
};
