/**
 * Converts members to the records and beats that peers exchange.
 */
import type {MemberBeat, MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {Member} from '@filbertwell/types/member';
import {placementHash} from '@filbertwell/utils/hash';
import type {KnownMember} from './memberTable.js';

/**
 * Converts a member to its full record.
 *
 * @param member - The member.
 * @param sequence - Sequence number of its latest update.
 * @returns The record, without the member's load.
 */
export const toRecord = (member: Member, sequence: number): MemberRecord => {
	const {load: _, ...rest} = member;
	return {...rest, sequence};
};

/**
 * Converts a member to a beat, the part of it that changes while it runs.
 *
 * @param known - The member with its sequence number.
 * @returns The beat, without the member's load.
 */
export const toBeat = ({member, sequence}: Pick<KnownMember, 'member' | 'sequence'>): MemberBeat => ({
	id: member.id,
	incarnation: member.incarnation,
	sequence,
	state: member.state,
	health: member.health,
	configurationVersion: member.configurationVersion,
});

/**
 * Computes a digest of the ids, incarnations and states of members.
 *
 * @param members - Records in any order.
 * @returns An unsigned 32-bit integer; equal for equal sets.
 */
export const digestOf = (members: readonly MemberRecord[]): number => {
	let digest = 0;
	for (const {id, incarnation, state} of members) {
		digest = (digest ^ placementHash(`${id} ${incarnation} ${state}`)) >>> 0; // eslint-disable-line no-bitwise -- XOR makes the digest independent of the order
	}

	return digest;
};
