/**
 * Simulates how many hops and probe rounds a change needs to reach all members. Applies only the
 * dissemination rule, to a flag for each member, without processes or network.
 */
import {messagesPerChange, announcementFanout} from '@filbertwell/membership/dissemination';
import type {Random} from '@filbertwell/utils/random';

/** Parameters of one simulated dissemination. */
export type DisseminationOptions = {
	readonly members: number;
	/** Number of peers to which each newly informed member relays the change immediately. */
	readonly targets: number;
	/** Fraction of messages that are lost, from 0 to 1. */
	readonly loss: number;
	readonly random: Random;
};

/** Result of one simulated dissemination. */
export type Dissemination = {
	/** Length of the longest chain of immediate messages before the first round of probes. */
	readonly hops: number;
	/** Number of members informed before the first round of probes. */
	readonly informedBeforeProbes: number;
	/** Rounds of probes until all members are informed; at most 1000. */
	readonly rounds: number;
	/** Immediate messages of all members together, without those in probes and their replies. */
	readonly messages: number;
};

const maximumRounds = 1000;

/**
 * Simulates the dissemination of one change that starts at one member.
 *
 * @param options - Number of members, targets and loss.
 * @returns Hops, rounds and messages that it took.
 */
export const disseminateChange = ({members, targets, loss, random}: DisseminationOptions): Dissemination => {
	const remainingMessages = Array.from({length: members}, () => 0);
	const uninformedMembers = new Set(remainingMessages.keys());
	const messageBudget = messagesPerChange(members);
	const anyMember = () => Math.floor(random() * members);
	let messages = 0;
	let hops = 0;

	const inform = (member: number): boolean => {
		const isNew = uninformedMembers.delete(member);
		remainingMessages[member] = isNew ? messageBudget : remainingMessages[member]!;
		return isNew;
	};

	const sendTo = (member: number): boolean => {
		messages += 1;
		return random() >= loss && inform(member);
	};

	const sendToRandomPeers = (count: number): readonly number[] => Array.from({length: count}, () => anyMember())
		.filter(member => sendTo(member));

	/** Relays the change from each newly informed member to its targets, until no member is new. */
	const relay = (start: readonly number[]) => {
		let newlyInformed = start;
		while (newlyInformed.length > 0) {
			hops += 1;
			newlyInformed = newlyInformed.flatMap(() => sendToRandomPeers(targets));
		}
	};

	/** Piggybacks the change on a probe or its reply; returns the member if it is newly informed. */
	const piggyback = (from: number, to: number): readonly number[] => {
		if (remainingMessages[from] === 0) {
			return [];
		}

		remainingMessages[from]! -= 1;
		return random() >= loss && inform(to) ? [to] : [];
	};

	inform(0);
	relay(sendToRandomPeers(announcementFanout));
	const informedBeforeProbes = members - uninformedMembers.size;
	const hopsBeforeProbes = hops + 1;
	let rounds = 0;
	while (uninformedMembers.size > 0 && rounds < maximumRounds) {
		rounds += 1;
		for (let member = 0; member < members; member++) {
			const peer = anyMember();
			relay([...piggyback(member, peer), ...piggyback(peer, member)]);
		}
	}

	return {
		hops: hopsBeforeProbes, informedBeforeProbes, rounds, messages,
	};
};

/** Largest and mean figures of many simulated disseminations. */
export type WorstDissemination = {
	readonly hops: number;
	readonly rounds: number;
	/** Mean share of the members that are informed before the first round of probes, from 0 to 1. */
	readonly informedBeforeProbesShare: number;
	/** Mean number of immediate messages that each member sends. */
	readonly messagesPerMember: number;
};

/**
 * Repeats a simulated dissemination.
 *
 * @param options - Parameters of each dissemination.
 * @param times - Number of repetitions, at least 1.
 * @returns The largest number of hops and of rounds, and the means of the other figures.
 */
export const repeatDissemination = (options: DisseminationOptions, times: number): WorstDissemination => {
	const disseminations = Array.from({length: times}, () => disseminateChange(options));
	const mean = (read: (dissemination: Dissemination) => number): number => {
		let sum = 0;
		for (const dissemination of disseminations) {
			sum += read(dissemination);
		}

		return sum / times;
	};

	return {
		hops: Math.max(...disseminations.map(({hops}) => hops)),
		rounds: Math.max(...disseminations.map(({rounds}) => rounds)),
		informedBeforeProbesShare: mean(({informedBeforeProbes}) => informedBeforeProbes) / options.members,
		messagesPerMember: mean(({messages}) => messages) / options.members,
	};
};

/**
 * `stateTargets`: number of targets for a change of state, which each member relays. `versionTargets`: number of
 * targets for a configuration version, which each member announces once the version is in force.
 */
export {relayFanout as stateTargets, announcementFanout as versionTargets} from '@filbertwell/membership/dissemination';
