/**
 * How many steps a change needs to reach all members: the rule of dissemination alone, on plain flags.
 */
import {messagesPerChange, announcementFanout} from '@filbertwell/membership/dissemination';
import type {Random} from '@filbertwell/utils/random';

/** Parameters of one spread. */
export type SpreadOptions = {
	readonly members: number;
	/** Peers that each newly informed member tells at once. */
	readonly targets: number;
	/** Fraction of messages that are lost, from 0 to 1. */
	readonly loss: number;
	readonly random: Random;
};

/** Steps of one spread. */
export type Spread = {
	/** Messages one after another until nobody passes the change on at once any more. */
	readonly hops: number;
	/** Members informed by then. */
	readonly informedAtOnce: number;
	/** Rounds of probes after that until all are informed. */
	readonly rounds: number;
	/** Messages sent at once, by all members together. */
	readonly messages: number;
};

const maximumRounds = 1000;

/**
 * Spreads one change.
 *
 * @param options - Number of members, targets and loss.
 * @returns The steps that it took.
 */
export const spreadChange = ({members, targets, loss, random}: SpreadOptions): Spread => {
	const remaining = Array.from({length: members}, () => 0);
	const uninformed = new Set(remaining.keys());
	const budget = messagesPerChange(members);
	const anyMember = () => Math.floor(random() * members);
	let messages = 0;
	let hops = 0;

	const inform = (member: number): boolean => {
		const isNew = uninformed.delete(member);
		remaining[member] = isNew ? budget : remaining[member]!;
		return isNew;
	};

	const sendTo = (member: number): boolean => {
		messages += 1;
		return random() >= loss && inform(member);
	};

	const tellPeers = (count: number): readonly number[] => Array.from({length: count}, () => anyMember())
		.filter(member => sendTo(member));

	/** Each newly informed member tells its targets, until none is new. */
	const relay = (start: readonly number[]) => {
		let front = start;
		while (front.length > 0) {
			hops += 1;
			front = front.flatMap(() => tellPeers(targets));
		}
	};

	/** One message of a probe or its reply; returns a member that it informed. */
	const carry = (from: number, to: number): readonly number[] => {
		if (remaining[from] === 0) {
			return [];
		}

		remaining[from]! -= 1;
		return random() >= loss && inform(to) ? [to] : [];
	};

	inform(0);
	relay(tellPeers(announcementFanout));
	const informedAtOnce = members - uninformed.size;
	const eagerHops = hops + 1;
	let rounds = 0;
	while (uninformed.size > 0 && rounds < maximumRounds) {
		rounds += 1;
		for (let member = 0; member < members; member++) {
			const peer = anyMember();
			relay([...carry(member, peer), ...carry(peer, member)]);
		}
	}

	return {
		hops: eagerHops, informedAtOnce, rounds, messages,
	};
};

/** Worst steps of many spreads. */
export type WorstSpread = {
	readonly hops: number;
	readonly rounds: number;
	/** Mean share of the members that are informed at once. */
	readonly informedAtOnceShare: number;
	/** Messages that each member sends at once, on average. */
	readonly messagesPerMember: number;
};

/**
 * Repeats a spread.
 *
 * @param options - As for one spread.
 * @param times - Number of spreads.
 * @returns The largest numbers of steps, and means.
 */
export const repeatSpread = (options: SpreadOptions, times: number): WorstSpread => {
	const spreads = Array.from({length: times}, () => spreadChange(options));
	const mean = (read: (spread: Spread) => number): number => {
		let sum = 0;
		for (const spread of spreads) {
			sum += read(spread);
		}

		return sum / times;
	};

	return {
		hops: Math.max(...spreads.map(({hops}) => hops)),
		rounds: Math.max(...spreads.map(({rounds}) => rounds)),
		informedAtOnceShare: mean(({informedAtOnce}) => informedAtOnce) / options.members,
		messagesPerMember: mean(({messages}) => messages) / options.members,
	};
};

/** Targets of a change of state, which each member relays. */

/** Targets of a configuration version, which each member announces once it has it in force. */

export {relayFanout as stateTargets, announcementFanout as versionTargets} from '@filbertwell/membership/dissemination';
