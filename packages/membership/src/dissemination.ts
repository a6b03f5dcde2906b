/**
 * Constants that determine how widely members disseminate a change.
 */

/** Number of peers to which a member immediately sends a change of its own. */
export const announcementFanout = 8;

/** Number of peers to which a member immediately relays a change of another member. */
export const relayFanout = 4;

/**
 * Number of messages in which each member includes the record of a new member. It is small because
 * records are long: a member that misses one requests it when it receives the unknown id.
 */
export const messagesPerJoin = 4;

const extraMessages = 2;

/**
 * Computes the number of messages in which each member includes a change, so that it also reaches the last members.
 *
 * @param members - Number of members.
 * @returns Number of messages per member.
 */
export const messagesPerChange = (members: number): number => Math.ceil(Math.log2(members + 2)) + extraMessages;
