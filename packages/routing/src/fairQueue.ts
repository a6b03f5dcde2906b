/**
 * Queue with start-time fair queueing between tenants. Each tenant has a first-in-first-out queue
 * and a virtual time that advances by the expected slot time of each request taken, divided by the
 * tenant's weight; the tenant with the lowest virtual time is served next. A tenant that sends many
 * times its share therefore delays its own requests and not those of others. A tenant that has
 * recently sent less than its share has a bounded credit for a burst that is served first.
 */

/** An item of the queue. */
export type QueueItem = {
	readonly tenant: string;
	/** Expected slot time in milliseconds. */
	readonly costMs: number;
};

/** A queue that shares service between tenants by weight. */
export type FairQueue<Item extends QueueItem> = {
	readonly push: (item: Item) => void;
	/** Returns the item that is served next, without removing it. */
	readonly peek: () => Item | undefined;
	/** Removes and returns the item that `peek` returns, and charges its cost to its tenant. */
	readonly take: () => Item | undefined;
	/** Removes and returns the newest item of the tenant with the most items relative to its weight. */
	readonly dropNewest: () => Item | undefined;
	/** Removes an item; returns false when it is not queued. */
	readonly remove: (item: Item) => boolean;
	readonly size: () => number;
	/** Sum of the costs of the items that would be served before a new item of this tenant, in milliseconds. */
	readonly costAheadMs: (tenant: string) => number;
	/** Sum of the costs of all items, in milliseconds. */
	readonly costMs: () => number;
	/** Number of items of a tenant. */
	readonly sizeOfTenant: (tenant: string) => number;
};

type TenantQueue<Item> = {
	readonly items: Item[];
	readonly weight: number;
	costMs: number;
	virtualMs: number;
};

/** Largest virtual time by which a tenant may lag behind the queue; it is served first until it has caught up. */
const maximumCreditMs = 1000;
/** Number of items taken between two removals of inactive tenants. */
const takesBetweenSweeps = 256;

const longerByWeight = <Item>(a: TenantQueue<Item>, b: TenantQueue<Item>) => b.items.length / b.weight > a.items.length / a.weight ? b : a;

/**
 * Creates an empty fair queue. A tenant without items is forgotten once it has its full credit
 * again, so that the number of tenants in memory stays bounded.
 *
 * @param weightOf - Returns the weight of a tenant, above 0.
 * @returns The queue.
 */
export const createFairQueue = <Item extends QueueItem>(weightOf: (tenant: string) => number): FairQueue<Item> => {
	const tenants = new Map<string, TenantQueue<Item>>();
	let size = 0;
	let virtualMs = 0;
	let takes = 0;

	const next = () => {
		let best: TenantQueue<Item> | undefined;
		for (const queue of tenants.values()) {
			if (queue.items.length > 0 && (best === undefined || queue.virtualMs < best.virtualMs)) {
				best = queue;
			}
		}

		return best;
	};

	const sweep = () => {
		for (const [tenant, queue] of tenants) {
			if (queue.items.length === 0 && queue.virtualMs <= virtualMs - maximumCreditMs) {
				tenants.delete(tenant);
			}
		}
	};

	const queueOf = (tenant: string): TenantQueue<Item> => {
		let queue = tenants.get(tenant);
		if (queue === undefined) {
			queue = {
				items: [], weight: weightOf(tenant), costMs: 0, virtualMs: virtualMs - maximumCreditMs,
			};
			tenants.set(tenant, queue);
		} else if (queue.items.length === 0) {
			queue.virtualMs = Math.max(queue.virtualMs, virtualMs - maximumCreditMs);
		}

		return queue;
	};

	const subtract = (item: Item, queue: TenantQueue<Item>) => {
		size -= 1;
		queue.costMs -= item.costMs;
	};

	return {
		push(item) {
			const queue = queueOf(item.tenant);
			queue.items.push(item);
			queue.costMs += item.costMs;
			size += 1;
		},
		peek: () => next()?.items[0],
		take() {
			const queue = next();
			const item = queue?.items.shift();
			if (queue === undefined || item === undefined) {
				return undefined;
			}

			virtualMs = Math.max(virtualMs, queue.virtualMs);
			queue.virtualMs += item.costMs / queue.weight;
			subtract(item, queue);
			takes += 1;
			if (takes % takesBetweenSweeps === 0) {
				sweep();
			}

			return item;
		},
		dropNewest() {
			let heaviest: TenantQueue<Item> | undefined;
			for (const queue of tenants.values()) {
				heaviest = heaviest === undefined ? queue : longerByWeight(heaviest, queue);
			}

			const item = heaviest?.items.pop();
			if (heaviest !== undefined && item !== undefined) {
				subtract(item, heaviest);
			}

			return item;
		},
		remove(item) {
			const queue = tenants.get(item.tenant);
			const index = queue?.items.indexOf(item) ?? -1;
			if (queue === undefined || index === -1) {
				return false;
			}

			queue.items.splice(index, 1);
			subtract(item, queue);
			return true;
		},
		size: () => size,
		costAheadMs(tenant) {
			const own = tenants.get(tenant);
			const ownStartMs = Math.max(own?.virtualMs ?? -Infinity, virtualMs - maximumCreditMs);
			const ownCostMs = own?.costMs ?? 0;
			const ownEndMs = ownStartMs + (ownCostMs / (own?.weight ?? weightOf(tenant)));
			let aheadMs = ownCostMs;
			for (const [name, queue] of tenants) {
				const servedBeforeMs = (ownEndMs - queue.virtualMs) * queue.weight;
				if (name !== tenant && queue.items.length > 0 && servedBeforeMs >= 0) {
					aheadMs += Math.min(queue.costMs, servedBeforeMs + queue.items[0]!.costMs);
				}
			}

			return aheadMs;
		},
		costMs: () => [...tenants.values()].reduce((total, queue) => total + queue.costMs, 0),
		sizeOfTenant: tenant => tenants.get(tenant)?.items.length ?? 0,
	};
};
