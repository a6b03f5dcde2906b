/**
 * Order of waiting requests between tenants: start-time fair queueing. Each tenant has its own
 * first-in-first-out queue and a virtual time that advances by the expected duration of what it
 * runs, divided by its weight; the tenant that is furthest behind goes next. A tenant that sends
 * many times its share waits behind itself, not in front of others. One that sent less than its
 * share lately has credit, up to a bound, for a burst that goes ahead of the others.
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

/** Most virtual time by which a tenant may lag behind, and so go ahead of the others. */
const creditMs = 1000;
const takesBetweenSweeps = 256;

const heavier = <Item>(a: TenantQueue<Item>, b: TenantQueue<Item>) => b.items.length / b.weight > a.items.length / a.weight ? b : a;

/**
 * Creates a fair queue. A tenant without waiting items is remembered only until it has all its
 * credit again, so that the number of tenants known stays bounded.
 *
 * @param weightOf - Weight of a tenant, above 0.
 * @returns The queue.
 */
export const createFairQueue = <Item extends Waiting>(weightOf: (tenant: string) => number): FairQueue<Item> => {
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
			if (queue.items.length === 0 && queue.virtualMs <= virtualMs - creditMs) {
				tenants.delete(tenant);
			}
		}
	};

	const queueOf = (tenant: string): TenantQueue<Item> => {
		let queue = tenants.get(tenant);
		if (queue === undefined) {
			queue = {
				items: [], weight: weightOf(tenant), costMs: 0, virtualMs: virtualMs - creditMs,
			};
			tenants.set(tenant, queue);
		} else if (queue.items.length === 0) {
			queue.virtualMs = Math.max(queue.virtualMs, virtualMs - creditMs);
		}

		return queue;
	};

	const discard = (item: Item, queue: TenantQueue<Item>) => {
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
			discard(item, queue);
			takes += 1;
			if (takes % takesBetweenSweeps === 0) {
				sweep();
			}

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
			const ownStartMs = Math.max(own?.virtualMs ?? -Infinity, virtualMs - creditMs);
			const ownCostMs = own?.costMs ?? 0;
			const ownEndMs = ownStartMs + (ownCostMs / (own?.weight ?? weightOf(tenant)));
			let aheadMs = ownCostMs;
			for (const [name, queue] of tenants) {
				const reachMs = (ownEndMs - queue.virtualMs) * queue.weight;
				if (name !== tenant && queue.items.length > 0 && reachMs >= 0) {
					aheadMs += Math.min(queue.costMs, reachMs + queue.items[0]!.costMs);
				}
			}

			return aheadMs;
		},
		costMs: () => [...tenants.values()].reduce((total, queue) => total + queue.costMs, 0),
		sizeOf: tenant => tenants.get(tenant)?.items.length ?? 0,
	};
};
