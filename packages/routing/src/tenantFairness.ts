/**
 * Order of waiting requests between tenants: start-time fair queueing. Each tenant has its own
 * first-in-first-out queue and a virtual time that advances by the expected duration of what it
 * runs, divided by its weight; the tenant that is furthest behind goes next. A tenant that sends
 * many times its share waits behind itself, not in front of others.
 */

/** Something that waits. */
export type Waiting = {
	readonly tenant: string;
	/** Expected milliseconds in a slot. */
	readonly costMs: number;
};

/** A queue that is fair between tenants. */
export type FairQueue<Item extends Waiting> = {
	readonly push: (item: Item) => void;
	/** The item that goes next. */
	readonly peek: () => Item | undefined;
	/** Takes the item that `peek` gives. */
	readonly take: () => Item | undefined;
	/** Takes the newest item of the tenant with the most waiting. */
	readonly dropNewest: () => Item | undefined;
	readonly remove: (item: Item) => boolean;
	readonly size: () => number;
	/** Expected milliseconds of the items that would go before a new one of this tenant. */
	readonly costAheadMs: (tenant: string) => number;
	/** Expected milliseconds of all items. */
	readonly costMs: () => number;
	/** Items that wait for a tenant. */
	readonly sizeOf: (tenant: string) => number;
};

type TenantQueue<Item> = {
	readonly items: Item[];
	readonly weight: number;
	costMs: number;
	virtualMs: number;
};

const heavier = <Item>(a: TenantQueue<Item>, b: TenantQueue<Item>) => b.items.length / b.weight > a.items.length / a.weight ? b : a;

/**
 * Creates a fair queue. A tenant without waiting items is forgotten, so that the number of
 * tenants known is at most the number of items.
 *
 * @param weightOf - Weight of a tenant, above 0.
 * @returns The queue.
 */
export const createFairQueue = <Item extends Waiting>(weightOf: (tenant: string) => number): FairQueue<Item> => {
	const tenants = new Map<string, TenantQueue<Item>>();
	let size = 0;
	let virtualMs = 0;

	const next = () => {
		let best: TenantQueue<Item> | undefined;
		for (const queue of tenants.values()) {
			if (best === undefined || queue.virtualMs < best.virtualMs) {
				best = queue;
			}
		}

		return best;
	};

	const forgetIfEmpty = (tenant: string, queue: TenantQueue<Item>) => {
		if (queue.items.length === 0) {
			tenants.delete(tenant);
		}
	};

	const discard = (item: Item, queue: TenantQueue<Item>) => {
		size -= 1;
		queue.costMs -= item.costMs;
		forgetIfEmpty(item.tenant, queue);
	};

	return {
		push(item) {
			let queue = tenants.get(item.tenant);
			if (queue === undefined) {
				queue = {
					items: [], weight: weightOf(item.tenant), costMs: 0, virtualMs,
				};
				tenants.set(item.tenant, queue);
			}

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
			discard(item, queue);
			return item;
		},
		dropNewest() {
			let heaviest: TenantQueue<Item> | undefined;
			for (const queue of tenants.values()) {
				heaviest = heaviest === undefined ? queue : heavier(heaviest, queue);
			}

			const item = heaviest?.items.pop();
			if (heaviest !== undefined && item !== undefined) {
				discard(item, heaviest);
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
			discard(item, queue);
			return true;
		},
		size: () => size,
		costAheadMs(tenant) {
			const own = tenants.get(tenant);
			const ownWeight = own?.weight ?? weightOf(tenant);
			const ownShareMs = ((own?.costMs ?? 0) / ownWeight) + (own === undefined ? 0 : own.virtualMs - virtualMs);
			let aheadMs = own?.costMs ?? 0;
			for (const [name, queue] of tenants) {
				if (name !== tenant) {
					const reachedMs = Math.max(0, ownShareMs - (queue.virtualMs - virtualMs)) * queue.weight;
					aheadMs += Math.min(queue.costMs, reachedMs + (queue.items[0]?.costMs ?? 0));
				}
			}

			return aheadMs;
		},
		costMs: () => [...tenants.values()].reduce((total, queue) => total + queue.costMs, 0),
		sizeOf: tenant => tenants.get(tenant)?.items.length ?? 0,
	};
};
