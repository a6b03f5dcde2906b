/**
 * Tracks peers that leave probes unanswered.
 */

/** State of a peer that leaves probes unanswered. */
export type ProbeOutcome = 'unresponsive' | 'silent';

/**
 * Counts unanswered probes. A peer is unresponsive from its first unanswered probe until it sends a
 * message or reaches the limit for suspicion.
 */
export type ProbeTracker = {
	/** Records that a probe was sent. */
	readonly recordProbe: (id: string) => void;
	/** Records a message from the peer itself. */
	readonly recordMessage: (id: string) => void;
	/** Records that another member has just received a message from the peer. */
	readonly recordRelayedMessage: (id: string) => void;
	/** Marks a peer as unresponsive, with one unanswered probe. Returns `false` and changes nothing if it was unresponsive already. */
	readonly markUnresponsive: (id: string) => boolean;
	/** Counts the unanswered probes of the last round. */
	readonly endRound: (suspectAfterProbes: number) => ProbeRound;
	/** Returns the unresponsive peers, which must be probed again; longest unresponsive first. */
	readonly unresponsivePeers: () => readonly string[];
	readonly removePeer: (id: string) => void;
};

/** Result of a round of probes. */
export type ProbeRound = {
	/** Peers that reached the limit. */
	readonly suspects: readonly string[];
	/** Number of peers that were probed. */
	readonly probed: number;
	/** Number of them that sent no message. */
	readonly unanswered: number;
};

type MissedProbes = {
	readonly unansweredProbes: number;
	readonly relayedBeats: number;
};

/** After more than this many newer beats that only other members received, this process leaves the monitoring of the peer to them. */
const maximumRelayedBeats = 5;

/**
 * Creates a tracker without unresponsive peers.
 *
 * @returns The tracker.
 */
export const createProbeTracker = (): ProbeTracker => {
	const awaitingReply = new Set<string>();
	let probed = new Set<string>();
	const missedProbes = new Map<string, MissedProbes>();

	const removePeer = (id: string) => {
		awaitingReply.delete(id);
		missedProbes.delete(id);
	};

	return {
		recordProbe(id) {
			probed.add(id);
			awaitingReply.add(id);
		},
		recordMessage: removePeer,
		recordRelayedMessage(id) {
			const missed = missedProbes.get(id);
			if (missed === undefined) {
				return;
			}

			const relayedBeats = missed.relayedBeats + 1;
			if (relayedBeats > maximumRelayedBeats) {
				removePeer(id);
			} else {
				missedProbes.set(id, {unansweredProbes: 0, relayedBeats});
			}
		},
		markUnresponsive(id) {
			if (missedProbes.has(id)) {
				return false;
			}

			missedProbes.set(id, {unansweredProbes: 1, relayedBeats: 0});
			return true;
		},
		endRound(suspectAfterProbes) {
			const suspects: string[] = [];
			for (const id of awaitingReply) {
				const {unansweredProbes, relayedBeats} = missedProbes.get(id) ?? {unansweredProbes: 0, relayedBeats: 0};
				if (unansweredProbes + 1 >= suspectAfterProbes) {
					suspects.push(id);
					missedProbes.delete(id);
				} else {
					missedProbes.set(id, {unansweredProbes: unansweredProbes + 1, relayedBeats});
				}
			}

			const round = {suspects, probed: probed.size, unanswered: awaitingReply.size};
			awaitingReply.clear();
			probed = new Set();
			return round;
		},
		unresponsivePeers: () => [...missedProbes.keys()],
		removePeer,
	};
};
