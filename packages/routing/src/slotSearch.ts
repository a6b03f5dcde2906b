/**
 * Search for slots to borrow. While requests wait and no owned slot is free, the load of a few
 * endpoints at a time is polled: a report from a few milliseconds ago is far more accurate than one
 * that came with an earlier answer. Only one round runs at a time. The next round starts after a
 * short pause; while the endpoints are too full to borrow, the pause is several mean slot times, so
 * that polling does not add to the overload.
 */
import type {Endpoint} from '@filbertwell/types/intent';
import type {LoadReport} from '@filbertwell/types/loadReport';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import type {EndpointTracker} from './endpointTracker.js';
import type {MeanUtilization} from './reportedLoad.js';

/** Requests the load report of an endpoint; resolves to `undefined` when there is none. Never rejects. */
export type FetchReport = (endpoint: Endpoint) => Promise<LoadReport | undefined>;

/** Dependencies of a slot search. */
export type SlotSearchOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly fetchReport: FetchReport;
	readonly meanUtilization: MeanUtilization;
	/** Called at the end of each round. */
	readonly onReports: () => void;
};

/** Search for slots to borrow. */
export type SlotSearch = {
	/** Starts a round among the candidates, unless one is running or the pause after one has not ended. */
	readonly search: (candidates: readonly EndpointTracker[]) => void;
};

const endpointsPerRound = 3;
/** Longest pause after a round while the endpoints are not too full to borrow. */
const roundIntervalMs = 10;
/** Pause after a round, in mean slot times, while the endpoints are too full to borrow. */
const busyIntervalFactor = 4;

/**
 * Creates the slot search of a service.
 *
 * @param options - Clock, random numbers, how to fetch a report and the callback for its result.
 * @returns The search.
 */
export const createSlotSearch = ({clock, random, fetchReport, meanUtilization, onReports}: SlotSearchOptions): SlotSearch => {
	let isRunning = false;
	let nextAtMs = -Infinity;

	const poll = async (tracker: EndpointTracker) => {
		const report = await fetchReport(tracker.endpoint);
		if (report !== undefined) {
			tracker.observeReport(report, clock(), false);
		}
	};

	const pickRandom = (candidates: readonly EndpointTracker[]): EndpointTracker[] => {
		const remaining = [...candidates];
		const picked: EndpointTracker[] = [];
		while (remaining.length > 0 && picked.length < endpointsPerRound) {
			picked.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
		}

		return picked;
	};

	const runRound = async (candidates: readonly EndpointTracker[]) => {
		isRunning = true;
		await Promise.all(pickRandom(candidates).map(async tracker => poll(tracker)));
		isRunning = false;
		nextAtMs = clock() + (meanUtilization.preventsBorrowing(false) ? busyIntervalFactor * meanUtilization.reportDecayMs() : Math.min(roundIntervalMs, meanUtilization.reportDecayMs()));
		onReports();
	};

	return {
		search(candidates) {
			if (!isRunning && clock() >= nextAtMs && candidates.length > 0) {
				void runRound(candidates);
			}
		},
	};
};
