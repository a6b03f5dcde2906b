/**
 * Search for a slot to borrow. While requests wait and no owned slot is free, a few endpoints
 * are asked for their load at once: an answer of a few milliseconds ago is worth much more than
 * a report that came with some earlier answer. One round runs at a time, and rounds are at
 * least the time of a request apart, so that a system that is full is not flooded with them.
 */
import type {Endpoint} from '@filbertwell/types/intent';
import type {LoadReport} from '@filbertwell/types/loadReport';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import type {EndpointTracker} from './endpointTracker.js';
import type {MeanUse} from './reportedLoad.js';

/** Asks an endpoint for its load; `undefined` where it gave no report. Never rejects. */
export type FetchReport = (endpoint: Endpoint) => Promise<LoadReport | undefined>;

/** Parameters of the search. */
export type RoomSearchOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly fetchReport: FetchReport;
	readonly meanUse: MeanUse;
	/** Called when a round has ended. */
	readonly onReports: () => void;
};

/** Search for room. */
export type RoomSearch = {
	/** Starts a round among the candidates, unless one runs or ran just now. */
	readonly search: (candidates: readonly EndpointTracker[]) => void;
};

const endpointsInRound = 3;
const roundIntervalMs = 10;
const fullIntervalFactor = 4;

/**
 * Creates a search.
 *
 * @param options - How to ask, and whom to tell.
 * @returns The search.
 */
export const createRoomSearch = ({clock, random, fetchReport, meanUse, onReports}: RoomSearchOptions): RoomSearch => {
	let isRunning = false;
	let nextAtMs = -Infinity;

	const ask = async (tracker: EndpointTracker) => {
		const report = await fetchReport(tracker.endpoint);
		if (report !== undefined) {
			tracker.observeReport(report, clock(), false);
		}
	};

	const drawSome = (candidates: readonly EndpointTracker[]): EndpointTracker[] => {
		const left = [...candidates];
		const drawn: EndpointTracker[] = [];
		while (left.length > 0 && drawn.length < endpointsInRound) {
			drawn.push(...left.splice(Math.floor(random() * left.length), 1));
		}

		return drawn;
	};

	const round = async (candidates: readonly EndpointTracker[]) => {
		isRunning = true;
		await Promise.all(drawSome(candidates).map(async tracker => ask(tracker)));
		isRunning = false;
		nextAtMs = clock() + (meanUse.isTooFull(false) ? fullIntervalFactor * meanUse.agingMs() : Math.min(roundIntervalMs, meanUse.agingMs()));
		onReports();
	};

	return {
		search(candidates) {
			if (!isRunning && clock() >= nextAtMs && candidates.length > 0) {
				void round(candidates);
			}
		},
	};
};
