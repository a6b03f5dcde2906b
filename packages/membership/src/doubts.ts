/**
 * Peers whose answers are missing.
 */

/** What happened to a peer whose answers are missing. */
export type DoubtOutcome = 'doubted' | 'silent';

/** Counts the probes that peers leave unanswered. */
export type Doubts = {
	/** Notes that a probe was sent. */
	readonly probed: (id: string) => void;
	/** Notes a message from the peer itself. */
	readonly heard: (id: string) => void;
	/** Notes that others heard the peer later than this process knew. */
	readonly heardByOthers: (id: string) => void;
	/** Puts a peer in doubt as if one probe had been left unanswered; returns whether it was not yet. */
	readonly raise: (id: string) => boolean;
	/** Counts the probes of the last round that were left unanswered; returns the peers that became silent. */
	readonly endRound: (silentAfterProbes: number) => readonly string[];
	/** Peers in doubt that are probed again, longest in doubt first. */
	readonly doubted: () => readonly string[];
	readonly forget: (id: string) => void;
};

type Doubt = {
	readonly unanswered: number;
	readonly relayed: number;
};

/** After so many rounds in which only others hear a peer, it is left to them. */
const maximumRelayedRounds = 5;

/**
 * Creates the counter.
 *
 * @returns The counter, with no peer in doubt.
 */
export const createDoubts = (): Doubts => {
	const awaiting = new Set<string>();
	const doubts = new Map<string, Doubt>();

	const forget = (id: string) => {
		awaiting.delete(id);
		doubts.delete(id);
	};

	return {
		probed(id) {
			awaiting.add(id);
		},
		heard: forget,
		heardByOthers(id) {
			const doubt = doubts.get(id);
			if (doubt === undefined) {
				return;
			}

			const relayed = doubt.relayed + 1;
			if (relayed > maximumRelayedRounds) {
				forget(id);
			} else {
				doubts.set(id, {unanswered: 0, relayed});
			}
		},
		raise(id) {
			if (doubts.has(id)) {
				return false;
			}

			doubts.set(id, {unanswered: 1, relayed: 0});
			return true;
		},
		endRound(silentAfterProbes) {
			const silent: string[] = [];
			for (const id of awaiting) {
				const {unanswered, relayed} = doubts.get(id) ?? {unanswered: 0, relayed: 0};
				if (unanswered + 1 >= silentAfterProbes) {
					silent.push(id);
					doubts.delete(id);
				} else {
					doubts.set(id, {unanswered: unanswered + 1, relayed});
				}
			}

			awaiting.clear();
			return silent;
		},
		doubted: () => [...doubts.keys()],
		forget,
	};
};
