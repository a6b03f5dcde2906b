/**
 * What this instance knows of one start of an endpoint: its load, its speed and its failures.
 */
import type {RegisteredEndpoint} from '@filbertwell/discovery/endpointDirectory';
import type {EndpointLoad} from '@filbertwell/types/discoveredEndpoint';
import type {Clock} from '@filbertwell/utils/clock';
import {createRecentKeys, type RecentKeys} from './recentKeys.js';

/** How a send ended, as far as it tells something of the endpoint. */
export type SendResult =
	/** It answered; the ratio of its time to the expected one is set where that tells its speed. */
	| {readonly kind: 'answered'; readonly speedRatio: number | undefined}
	/** It refused the request before running it. */
	| {readonly kind: 'refused'}
	/** It could not be reached, or its answer could not be used. */
	| {readonly kind: 'failed'}
	/** No answer came in time. */
	| {readonly kind: 'silent'}
	/** The caller left or another send won; this tells nothing. */
	| {readonly kind: 'abandoned'};

/** A request at an endpoint. */
export type Flight = {
	readonly startedAtMs: number;
	readonly expectedMs: number;
};

/** An endpoint with what is known of it. */
export type TrackedEndpoint = {
	/** The latest registration. */
	readonly registered: () => RegisteredEndpoint;
	readonly update: (registered: RegisteredEndpoint) => void;
	readonly slots: () => number;
	/** Requests that this instance has sent there so far. */
	readonly sends: () => number;
	/** Monotonic milliseconds since which it has been warm; in the future while it is cold. */
	readonly warmSinceMs: () => number;
	/** Requests of all instances, running and waiting, as estimated now. */
	readonly load: () => number;
	/** How long work takes there, relative to the usual. */
	readonly slowdown: () => number;
	/** Part of recent sends that failed or were refused, from 0 to 1. */
	readonly failureRate: () => number;
	/** Time by which its oldest request here is overdue, in milliseconds; 0 if none is. */
	readonly overdueMs: () => number;
	readonly isEjected: () => boolean;
	readonly isCold: () => boolean;
	/** Takes it for cold for a while, until its registration says how long it is. */
	readonly assumeCold: (milliseconds: number) => void;
	readonly keys: RecentKeys;
	readonly start: (expectedMs: number) => Flight;
	readonly end: (flight: Flight, result: SendResult) => void;
	readonly reportLoad: (load: EndpointLoad) => void;
};

/** Keys that an endpoint is taken to keep warm; other instances bring it keys as well. */
const keptKeys = 20;
/** Time in which half of the others' load in a report counts as gone. */
const othersHalfLifeMs = 1500;
/** Time in which a reported momentary speed loses most of its say. */
const reportedSpeedMs = 500;
const speedSampleWeight = 0.2;
/** Time without samples in which a learned slowdown halves its distance to 1. */
const slowdownHalfLifeMs = 4000;
const failureSampleWeight = 0.15;
const failureHalfLifeMs = 2500;
const failuresUntilEjected = 3;
const firstEjectionMs = 700;
const longestEjectionMs = 5000;
/** Multiple of the expected time from which a request counts as overdue. */
const overdueAfter = 2.5;
/** Bounds of one sample, so that a straggler does not make its endpoint look slow. */
const smallestSample = 0.6;
const largestSample = 2;

/**
 * Starts to track an endpoint.
 *
 * @param clock - Monotonic milliseconds.
 * @param first - Its registration.
 * @returns The tracked endpoint, without load or failures.
 */
export const trackEndpoint = (clock: Clock, first: RegisteredEndpoint): TrackedEndpoint => {
	const flights = new Set<Flight>();
	const keys = createRecentKeys(keptKeys);
	let registered = first;
	let sends = 0;
	let {coldUntilMs} = first;
	let reportedSlots: number | undefined;
	let others = 0;
	let reportedAtMs = 0;
	let reportedSlowdown = 1;
	let learnedSlowdown = 1;
	let learnedAtMs = clock();
	let failures = 0;
	let failuresAtMs = clock();
	let failuresInRow = 0;
	let ejectedUntilMs = 0;
	let answeredAtMs = 0;

	const halved = (ageMs: number, halfLifeMs: number) => 0.5 ** (ageMs / halfLifeMs);

	const currentFailures = () => failures * halved(clock() - failuresAtMs, failureHalfLifeMs);

	const recordFailure = (isFailure: boolean) => {
		failures = currentFailures() + (failureSampleWeight * ((isFailure ? 1 : 0) - currentFailures()));
		failuresAtMs = clock();
	};

	const eject = () => {
		const lengthMs = Math.min(firstEjectionMs * (2 ** (failuresInRow - failuresUntilEjected)), longestEjectionMs);
		ejectedUntilMs = clock() + lengthMs;
		keys.clear();
	};

	const currentLearned = () => 1 + ((learnedSlowdown - 1) * halved(clock() - learnedAtMs, slowdownHalfLifeMs));

	const recordSpeed = (ratio: number) => {
		const bounded = Math.min(Math.max(ratio, smallestSample), largestSample);
		learnedSlowdown = (currentLearned() ** (1 - speedSampleWeight)) * (bounded ** speedSampleWeight);
		learnedAtMs = clock();
	};

	const oldestStart = (): Flight | undefined => flights.values().next().value;

	return {
		registered: () => registered,
		update(next) {
			registered = next;
			coldUntilMs = next.coldUntilMs === 0 ? coldUntilMs : Math.max(coldUntilMs, next.coldUntilMs);
		},
		slots: () => reportedSlots ?? registered.endpoint.slots,
		sends: () => sends,
		warmSinceMs: () => Math.max(coldUntilMs, registered.firstSeenAtMs),
		load: () => flights.size + (others * halved(clock() - reportedAtMs, othersHalfLifeMs)),
		slowdown() {
			const say = Math.exp((reportedAtMs - clock()) / reportedSpeedMs);
			return currentLearned() * ((reportedSlowdown * say) + (1 - say));
		},
		failureRate: currentFailures,
		overdueMs() {
			const oldest = oldestStart();
			// An answer after the one that is due shows that the endpoint lives.
			if (oldest === undefined || answeredAtMs > oldest.startedAtMs + oldest.expectedMs) {
				return 0;
			}

			return Math.max(0, clock() - oldest.startedAtMs - (oldest.expectedMs * overdueAfter));
		},
		isEjected: () => ejectedUntilMs > clock(),
		isCold: () => coldUntilMs > clock(),
		assumeCold(milliseconds) {
			coldUntilMs = Math.max(coldUntilMs, clock() + milliseconds);
		},
		keys,
		start(expectedMs) {
			const flight = {startedAtMs: clock(), expectedMs};
			flights.add(flight);
			sends += 1;
			return flight;
		},
		end(flight, result) {
			flights.delete(flight);
			if (result.kind === 'abandoned') {
				return;
			}

			if (result.kind === 'answered') {
				answeredAtMs = clock();
				failuresInRow = 0;
				recordFailure(false);
				if (result.speedRatio !== undefined) {
					recordSpeed(result.speedRatio);
				}

				return;
			}

			// Where others were answered meanwhile, one silence is a straggler.
			if (result.kind === 'silent' && answeredAtMs > flight.startedAtMs) {
				return;
			}

			recordFailure(true);
			if (result.kind === 'refused') {
				return;
			}

			failuresInRow += 1;
			if (failuresInRow >= failuresUntilEjected) {
				eject();
			}
		},
		reportLoad({running, waiting, slots, slowdown}) {
			// The answer that carries the report has ended for this instance by the time it is read.
			others = Math.max(0, running + waiting - flights.size);
			reportedSlots = slots > 0 ? slots : undefined;
			reportedSlowdown = slowdown;
			reportedAtMs = clock();
		},
	};
};
