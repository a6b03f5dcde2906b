/**
 * Learns the durations of a service's routes from answers: the median and the 95th percentile of the
 * time to first byte, and the mean time for which a request holds a slot. The median is robust while
 * fewer than half of the endpoints are slow, so endpoints are compared with it. A route is long when
 * it holds a slot many times longer than the shortest route with a significant part of the traffic.
 */
import {createQuantileEstimate} from './quantileEstimate.js';

/** Learned quantiles of a route's time to first byte, in milliseconds. */
export type FirstByteTime = {
	/** Median; `undefined` before enough answers. */
	readonly medianMs: () => number | undefined;
	/** 95th percentile; `undefined` before enough answers. */
	readonly p95Ms: () => number | undefined;
	readonly record: (milliseconds: number) => void;
};

/** Learned durations of one route, in milliseconds. */
export type RouteDuration = {
	/** Time to first byte by region of the endpoint, since the network latency is part of it. */
	readonly firstByte: (region: string) => FirstByteTime;
	/** Time to first byte of a region, or of all regions together while that of the region is unknown. */
	readonly firstByteWithFallback: (region: string) => FirstByteTime;
	/** Mean time for which a request holds a slot; 20 ms before the first answer. */
	readonly meanSlotTimeMs: () => number;
	/** Records the time for which a request held a slot. */
	readonly recordSlotTime: (milliseconds: number) => void;
	/** Records a request, to measure the route's share of the traffic. */
	readonly recordArrival: () => void;
	/** Whether requests of this route hold slots much longer than those of the shortest route of the service. */
	readonly isLong: () => boolean;
};

/** Learned durations of a service's routes. */
export type ServiceDurations = {
	/** Durations of a route by its name; a new name starts without samples. */
	readonly ofRoute: (name: string) => RouteDuration;
};

/** Number of samples from which the quantiles are used. */
const minimumSamples = 20;
/** Weight of a request in the moving mean of the slot time. */
const slotTimeWeight = 0.05;
const defaultSlotTimeMs = 20;
/** A route is long if its slot time is more than this multiple of the slot time of the shortest route. */
const longRouteFactor = 8;
/** Minimum share of the traffic for a route to count as the shortest. */
const minimumTrafficShare = 0.05;
/** Factor by which the counted arrivals decay at each new arrival. */
const arrivalDecay = 0.999;

const createFirstByteTime = (): FirstByteTime => {
	const median = createQuantileEstimate(0.5);
	const p95 = createQuantileEstimate(0.95);
	let samples = 0;
	const ifEnoughSamples = (value: number | undefined) => samples < minimumSamples ? undefined : value;
	return {
		medianMs: () => ifEnoughSamples(median.value()),
		p95Ms: () => ifEnoughSamples(p95.value()),
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
 * @returns The durations, without samples.
 */
export const createServiceDurations = (): ServiceDurations => {
	const records = new Map<string, RouteRecord>();
	let totalArrivals = 0;

	const shortestSlotTimeMs = () => {
		let shortest = Infinity;
		for (const record of records.values()) {
			if (record.arrivals >= minimumTrafficShare * totalArrivals) {
				shortest = Math.min(shortest, record.meanSlotTimeMs());
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
		const allRegions = createFirstByteTime();
		const createRegionTime = (): FirstByteTime => {
			const time = createFirstByteTime();
			return {
				...time,
				record(milliseconds) {
					time.record(milliseconds);
					allRegions.record(milliseconds);
				},
			};
		};

		let measuredSlotTimeMs: number | undefined;
		const record: RouteRecord = {
			arrivals: 0,
			firstByte(region) {
				let time = firstByteTimes.get(region);
				if (time === undefined) {
					time = createRegionTime();
					firstByteTimes.set(region, time);
				}

				return time;
			},
			firstByteWithFallback(region) {
				const time = firstByteTimes.get(region);
				return time?.medianMs() === undefined ? allRegions : time;
			},
			meanSlotTimeMs: () => measuredSlotTimeMs ?? defaultSlotTimeMs,
			recordSlotTime(milliseconds) {
				measuredSlotTimeMs = measuredSlotTimeMs === undefined ? milliseconds : measuredSlotTimeMs + (slotTimeWeight * (milliseconds - measuredSlotTimeMs));
			},
			recordArrival() {
				countArrival(record);
			},
			isLong: () => measuredSlotTimeMs !== undefined && records.size > 1 && measuredSlotTimeMs > longRouteFactor * shortestSlotTimeMs(),
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
