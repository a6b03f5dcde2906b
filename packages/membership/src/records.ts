/**
 * Conversions between members and the records that travel.
 */
import type {MemberBeat, MemberRecord} from '@filbertwell/peer-protocol/memberRecord';
import type {Member} from '@filbertwell/types/member';
import {placementHash} from '@filbertwell/utils/hash';
import type {KnownMember} from './memberTable.js';

/**
 * The full record of a member.
 *
 * @param member - The member.
 * @param sequence - Its sequence.
 * @returns The record.
 */
export const toRecord = (member: Member, sequence: number): MemberRecord => {
	const {load: _, ...rest} = member;
	return {...rest, sequence};
};

/**
 * The changing part of a member, without its load.
 *
 * @param known - What is known of the member.
 * @returns The beat.
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
 * A digest of which members there are, in which incarnation and state.
 *
 * @param members - Records in any order.
 * @returns An unsigned 32-bit integer, equal for equal sets.
 */
export const digestOf = (members: readonly MemberRecord[]): number => {
	let digest = 0;
	for (const {id, incarnation, state} of members) {
		digest = (digest ^ placementHash(`${id} ${incarnation} ${state}`)) >>> 0; // eslint-disable-line no-bitwise -- XOR makes the digest independent of the order
	}

	return digest;
};
