/**
 * Waiting requests of one service, in a bounded queue by class. Requests bind to an endpoint
 * only when one has room, so none waits behind a slow endpoint while another is free. Within a
 * class there is a lane for each kind of need (region by steering, long or short): when the
 * first of one lane finds no room, that does not hold the others up. Within a lane, tenants
 * share by weight. When the queue is full, a request displaces one of a lower class.
 */
import {type RequestClass, requestClasses} from '@filbertwell/types/intent';
import {type FairQueue, type Waiting, createFairQueue} from './tenantFairness.js';

/** A waiting request. */
export type Waiter = Waiting & {
	readonly requestClass: RequestClass;
	/** Requests with equal lanes can use the same endpoints. */
	readonly lane: string;
	/** Tries to bind the request to an endpoint and start it; returns whether it did. */
	readonly tryStart: () => boolean;
	/** Told that it was displaced by a request of a higher class or of a lighter tenant. */
	readonly displaced: () => void;
};

/** Bounded queue of one service. */
export type ClassQueue = {
	/** Adds a request; false when the queue is full of requests that go before it. */
	readonly push: (waiter: Waiter) => boolean;
	readonly remove: (waiter: Waiter) => void;
	/** Starts as many requests as there is room for. */
	readonly startReady: () => void;
	/** Expected milliseconds in slots of what would go before such a request. */
	readonly aheadMs: (waiter: Pick<Waiter, 'requestClass' | 'lane' | 'tenant'>) => number;
	readonly size: () => number;
	readonly sizeOfClass: (requestClass: RequestClass) => number;
};

/** Requests of one service that wait at one entry. */
export const queueBound = 512;

const sum = (numbers: number[]) => numbers.reduce((total, number) => total + number, 0);

/**
 * Creates a queue.
 *
 * @param weightOf - Weight of a tenant, above 0.
 * @param bound - Most waiting requests.
 * @returns The empty queue.
 */
export const createClassQueue = (weightOf: (tenant: string) => number, bound = queueBound): ClassQueue => {
	const lanesByClass = new Map(requestClasses.map(requestClass => [requestClass, new Map<string, FairQueue<Waiter>>()]));
	const lanesOf = (requestClass: RequestClass) => lanesByClass.get(requestClass)!;
	const sizeOfClass = (requestClass: RequestClass) => sum([...lanesOf(requestClass).values()].map(lane => lane.size()));
	let size = 0;

	const laneOf = ({requestClass, lane}: Pick<Waiter, 'requestClass' | 'lane'>) => {
		const lanes = lanesOf(requestClass);
		let queue = lanes.get(lane);
		if (queue === undefined) {
			queue = createFairQueue<Waiter>(weightOf);
			lanes.set(lane, queue);
		}

		return queue;
	};

	const largestLane = (requestClass: RequestClass) => [...lanesOf(requestClass).values()]
		.toSorted((a, b) => b.size() - a.size())[0];

	const displaceBelow = (requestClass: RequestClass): boolean => {
		const lower = requestClasses.slice(requestClasses.indexOf(requestClass) + 1).toReversed();
		const lowest = lower.find(candidate => sizeOfClass(candidate) > 0);
		return lowest !== undefined && displaceFrom(largestLane(lowest)!);
	};

	const displaceFrom = (lane: FairQueue<Waiter>): boolean => {
		const displaced = lane.dropNewest();
		if (displaced === undefined) {
			return false;
		}

		size -= 1;
		displaced.displaced();
		return true;
	};

	const displaceHeavier = (waiter: Waiter): boolean => {
		const lane = laneOf(waiter);
		const isLighter = lane.size() > 0 && lane.sizeOf(waiter.tenant) === 0;
		return isLighter && displaceFrom(lane);
	};

	const startLane = (lane: FairQueue<Waiter>) => {
		for (let waiter = lane.peek(); waiter !== undefined; waiter = lane.peek()) {
			if (!waiter.tryStart()) {
				return;
			}

			lane.take();
			size -= 1;
		}
	};

	return {
		push(waiter) {
			if (size >= bound && !displaceBelow(waiter.requestClass) && !displaceHeavier(waiter)) {
				return false;
			}

			laneOf(waiter).push(waiter);
			size += 1;
			return true;
		},
		remove(waiter) {
			if (laneOf(waiter).remove(waiter)) {
				size -= 1;
			}
		},
		startReady() {
			for (const requestClass of requestClasses) {
				for (const [name, lane] of lanesOf(requestClass)) {
					startLane(lane);
					if (lane.size() === 0) {
						lanesOf(requestClass).delete(name);
					}
				}
			}
		},
		aheadMs(waiter) {
			const higher = requestClasses.slice(0, requestClasses.indexOf(waiter.requestClass));
			const higherMs = sum(higher.map(requestClass => lanesOf(requestClass).get(waiter.lane)?.costMs() ?? 0));
			const ownLane = lanesOf(waiter.requestClass).get(waiter.lane);
			return higherMs + (ownLane?.costAheadMs(waiter.tenant) ?? 0);
		},
		size: () => size,
		sizeOfClass,
	};
};
