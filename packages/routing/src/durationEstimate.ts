/**
 * Expected durations of a service's routes, learned from the answers. The median and the 95th
 * percentile are of the time to first byte; the mean is of the time for which a slot is held.
 * Medians are robust while under half of the endpoints are slow, so they serve as the norm
 * against which endpoints are judged. A route is long when it holds a slot many times longer
 * than the shortest route with a noticeable share of the traffic.
 */
import {createQuantileEstimate} from './quantileEstimate.js';

/** Time to first byte of a route's answers from one region. */
export type FirstByteTime = {
	/** Median; `undefined` before enough answers. */
	readonly medianMs: () => number | undefined;
	/** 95th percentile; `undefined` before enough answers. */
	readonly p95Ms: () => number | undefined;
	readonly record: (milliseconds: number) => void;
};

/** Learned durations of one route, in milliseconds. */
export type RouteDuration = {
	/** Time to first byte by region of the endpoint, since the way there is part of it. */
	readonly firstByte: (region: string) => FirstByteTime;
	/** Time to first byte of a region, or of all regions together while that one is unknown. */
	readonly firstByteOrAny: (region: string) => FirstByteTime;
	/** Mean time for which a slot is held. */
	readonly meanHeldMs: () => number;
	readonly recordHeld: (milliseconds: number) => void;
	/** Counts an arrival, for the share of the traffic. */
	readonly recordArrival: () => void;
	/** Whether requests of this route hold slots much longer than others of the service. */
	readonly isLong: () => boolean;
};

/** Durations of a service's routes. */
export type ServiceDurations = {
	readonly ofRoute: (name: string) => RouteDuration;
};

const minimumSamples = 20;
const meanWeight = 0.05;
const defaultHeldMs = 20;
const longFactor = 8;
const noticeableShare = 0.05;
const arrivalDecay = 0.999;

const createFirstByteTime = (): FirstByteTime => {
	const median = createQuantileEstimate(0.5);
	const p95 = createQuantileEstimate(0.95);
	let samples = 0;
	const ifKnown = (value: number | undefined) => samples < minimumSamples ? undefined : value;
	return {
		medianMs: () => ifKnown(median.value()),
		p95Ms: () => ifKnown(p95.value()),
		record(milliseconds) {
			samples += 1;
			median.record(milliseconds);
			p95.record(milliseconds);
		},
	};
};

type RouteRecord = RouteDuration & {arrivals: number};

/**
 * Creates the durations of a service.
 *
 * @returns Durations by route name; a new name starts without knowledge.
 */
export const createServiceDurations = (): ServiceDurations => {
	const records = new Map<string, RouteRecord>();
	let totalArrivals = 0;

	const shortestHeldMs = () => {
		let shortest = Infinity;
		for (const record of records.values()) {
			if (record.arrivals >= noticeableShare * totalArrivals) {
				shortest = Math.min(shortest, record.meanHeldMs());
			}
		}

		return shortest;
	};

	const countArrival = (arrived: RouteRecord) => {
		for (const record of records.values()) {
			record.arrivals *= arrivalDecay;
		}

		totalArrivals = (totalArrivals * arrivalDecay) + 1;
		arrived.arrivals += 1;
	};

	const createRecord = (): RouteRecord => {
		const firstByteTimes = new Map<string, FirstByteTime>();
		const anyRegion = createFirstByteTime();
		const createCounted = (): FirstByteTime => {
			const time = createFirstByteTime();
			return {
				...time,
				record(milliseconds) {
					time.record(milliseconds);
					anyRegion.record(milliseconds);
				},
			};
		};

		let meanHeldMs: number | undefined;
		const record: RouteRecord = {
			arrivals: 0,
			firstByte(region) {
				let time = firstByteTimes.get(region);
				if (time === undefined) {
					time = createCounted();
					firstByteTimes.set(region, time);
				}

				return time;
			},
			firstByteOrAny(region) {
				const time = firstByteTimes.get(region);
				return time?.medianMs() === undefined ? anyRegion : time;
			},
			meanHeldMs: () => meanHeldMs ?? defaultHeldMs,
			recordHeld(milliseconds) {
				meanHeldMs = meanHeldMs === undefined ? milliseconds : meanHeldMs + (meanWeight * (milliseconds - meanHeldMs));
			},
			recordArrival() {
				countArrival(record);
			},
			isLong: () => meanHeldMs !== undefined && records.size > 1 && meanHeldMs > longFactor * shortestHeldMs(),
		};
		return record;
	};

	return {
		ofRoute(name) {
			let record = records.get(name);
			if (record === undefined) {
				record = createRecord();
				records.set(name, record);
			}

			return record;
		},
	};
};
