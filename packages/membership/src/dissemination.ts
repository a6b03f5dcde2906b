/**
 * How widely a change is passed on.
 */

/** Peers that a member tells of its own change at once. */
export const ownNewsTargets = 8;

/** Peers that a member tells at once of another's change. */
export const relayTargets = 4;

/**
 * Further messages that carry a new member's record. Records are long; who misses one asks for it
 * when it hears the member's id.
 */
export const messagesPerJoin = 4;

const extraMessages = 2;

/**
 * Further messages that carry a change after it was told at once, so that it reaches the last members.
 *
 * @param members - Number of members.
 * @returns Number of messages of each member.
 */
export const messagesPerChange = (members: number): number => Math.ceil(Math.log2(members + 2)) + extraMessages;
