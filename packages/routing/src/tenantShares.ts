/**
 * Detects tenants that use more than their share. A tenant's usage is its mean number of requests
 * in flight over about two seconds; its share is its weight among the recently active tenants. A
 * tenant well over its share must leave some slots of this entry free: the square root of their
 * number, which is about the random variation of the number in use. A request of another tenant
 * then finds a free slot immediately, and endpoints keep slots that other entries can borrow. A
 * tenant that is the only active one is never over its share.
 */
import type {Clock} from '@filbertwell/utils/clock';

/** Usage of a service by tenant, at this entry. */
export type TenantShares = {
	/** Records a request of a tenant, which makes the tenant active. */
	readonly recordArrival: (tenant: string) => void;
	/** Records that a request of a tenant takes a slot. */
	readonly start: (tenant: string) => void;
	/** Records that a request of a tenant releases its slot. */
	readonly end: (tenant: string) => void;
	/** Whether the usage of a tenant is well over its share of a number of slots. */
	readonly isOverShare: (tenant: string, slots: number) => boolean;
	/** Number of tenants in memory. */
	readonly size: () => number;
};

type TenantUsage = {
	inFlight: number;
	meanInFlight: number;
	updatedAtMs: number;
	arrivedAtMs: number;
};

/** Time constant of the mean number of requests in flight. */
const averagingMs = 2000;
/** Time without arrivals after which an idle tenant is removed. */
const inactivityTimeoutMs = 2000;
const sweepIntervalMs = 200;
/** A tenant counts as over its share if its usage is more than this multiple of the share. */
const overShareFactor = 1.5;

/**
 * Returns the number of slots that a tenant over its share must leave free.
 *
 * @param slots - Number of slots that this entry owns.
 * @returns The square root of the number, rounded down, at least 1.
 */
export const slotsReservedForOthers = (slots: number): number => Math.max(1, Math.floor(Math.sqrt(slots)));

/**
 * Creates the usage record of a service, without tenants.
 *
 * @param clock - Monotonic clock, in milliseconds.
 * @param weightOf - Returns the weight of a tenant, above 0.
 * @returns The usage record.
 */
export const createTenantShares = (clock: Clock, weightOf: (tenant: string) => number): TenantShares => {
	const usages = new Map<string, TenantUsage>();
	let activeWeight = 0;
	let sweptAtMs = -Infinity;

	const usageOf = (tenant: string): TenantUsage => {
		const nowMs = clock();
		let usage = usages.get(tenant);
		if (usage === undefined) {
			usage = {
				inFlight: 0, meanInFlight: 0, updatedAtMs: nowMs, arrivedAtMs: nowMs,
			};
			usages.set(tenant, usage);
			activeWeight += weightOf(tenant);
		}

		const decay = Math.exp((usage.updatedAtMs - nowMs) / averagingMs);
		usage.meanInFlight = (decay * usage.meanInFlight) + ((1 - decay) * usage.inFlight);
		usage.updatedAtMs = nowMs;
		return usage;
	};

	const sweep = (nowMs: number) => {
		sweptAtMs = nowMs;
		activeWeight = 0;
		for (const [tenant, {inFlight, arrivedAtMs}] of usages) {
			if (inFlight === 0 && nowMs - arrivedAtMs > inactivityTimeoutMs) {
				usages.delete(tenant);
			} else {
				activeWeight += weightOf(tenant);
			}
		}
	};

	return {
		recordArrival(tenant) {
			const nowMs = clock();
			usageOf(tenant).arrivedAtMs = nowMs;
			if (nowMs - sweptAtMs > sweepIntervalMs) {
				sweep(nowMs);
			}
		},
		start(tenant) {
			usageOf(tenant).inFlight += 1;
		},
		end(tenant) {
			usageOf(tenant).inFlight -= 1;
		},
		isOverShare(tenant, slots) {
			const share = weightOf(tenant) / Math.max(activeWeight, weightOf(tenant));
			return share < 1 && usageOf(tenant).meanInFlight > overShareFactor * share * slots;
		},
		size: () => usages.size,
	};
};
