/**
 * Selects the peers that are probed in a round.
 */
import type {MemberTable} from './memberTable.js';
import type {ProbeOrder} from './probeOrder.js';

/**
 * What is known of the other members. `massLoss`: many probes of the last round were not answered.
 * `reconnected`: a message arrived after rounds without any, so that many suspicions may be outdated.
 */
export type ProbeSituation = 'usual' | 'massLoss' | 'reconnected';

/** Selects targets round by round. */
export type ProbeTargets = {
	/** Returns the peers to probe, each once. */
	readonly choose: (situation: ProbeSituation) => ReadonlySet<string>;
};

/** Sources of the targets. */
export type ProbeTargetsOptions = {
	readonly table: MemberTable;
	readonly probeOrder: ProbeOrder;
	/** Returns the peers that leave probes unanswered. */
	readonly unresponsivePeers: () => readonly string[];
};

/** Bounds the datagrams of one round. */
const maximumProbesPerRound = 256;
/** Number of suspect members that are probed in each round while no member is alive. */
const isolatedProbes = 4;
const helperCandidates = 4;

/**
 * Creates a selection.
 *
 * @param options - Member table, order of the probes and unresponsive peers.
 * @returns The selection. Unresponsive peers are probed in each round, the others in turn.
 */
export const createProbeTargets = ({table, probeOrder, unresponsivePeers}: ProbeTargetsOptions): ProbeTargets => {
	let helper: string | undefined;

	const isAlive = (id: string): boolean => table.get(id)?.member.health === 'alive';

	/** Selects an alive peer for indirect probes: a probe to it lists the unresponsive peers, and it probes them at once. */
	const chooseHelper = (unresponsive: ReadonlySet<string>): string | undefined => {
		if (unresponsive.size === 0) {
			return undefined;
		}

		const isUsable = helper !== undefined && !unresponsive.has(helper) && isAlive(helper);
		return isUsable
			? helper
			: probeOrder.sample(table.known(), helperCandidates).find(id => !unresponsive.has(id) && isAlive(id));
	};

	const additionalTargets = (situation: ProbeSituation): readonly string[] => {
		const ids = [...table.known().keys()];
		if (situation === 'reconnected') {
			return ids;
		}

		const alive = ids.filter(id => isAlive(id));
		if (alive.length === 0) {
			return probeOrder.sample(table.known(), isolatedProbes);
		}

		return situation === 'massLoss' ? alive : [];
	};

	return {
		choose(situation) {
			const unresponsive = new Set(unresponsivePeers());
			helper = chooseHelper(unresponsive);
			const chosen = [helper, probeOrder.next(table.known()), ...unresponsive, ...additionalTargets(situation)].filter(id => id !== undefined);
			return new Set([...new Set(chosen)].slice(0, maximumProbesPerRound));
		},
	};
};
