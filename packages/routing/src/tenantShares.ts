/**
 * Which tenants use more than their share. A tenant's use is its mean number of requests in
 * flight over about two seconds; its share is its weight among the tenants that sent lately. A
 * tenant well over its share leaves some slots of this entry free, as many as the square root of
 * all: about the spread of the number in use. A request of another tenant then finds a slot at
 * once, and the endpoints keep room for other entries to borrow. A tenant
 * that is alone is never over its share.
 */
import type {Clock} from '@filbertwell/utils/clock';

/** Use of a service by tenants at this entry. */
export type TenantShares = {
	readonly recordArrival: (tenant: string) => void;
	readonly start: (tenant: string) => void;
	readonly end: (tenant: string) => void;
	/** Whether a tenant uses well over its share of some slots. */
	readonly isOverShare: (tenant: string, slots: number) => boolean;
	/** Tenants that are remembered. */
	readonly size: () => number;
};

type TenantUse = {
	inFlight: number;
	meanInFlight: number;
	updatedAtMs: number;
	arrivedAtMs: number;
};

const meanOverMs = 2000;
const forgottenAfterMs = 2000;
const sweepIntervalMs = 200;
const tolerance = 1.5;

/**
 * Slots that a tenant over its share leaves to others.
 *
 * @param slots - Slots of this entry.
 * @returns At least one.
 */
export const slotsLeftToOthers = (slots: number): number => Math.max(1, Math.floor(Math.sqrt(slots)));

/**
 * Creates shares.
 *
 * @param clock - Monotonic milliseconds.
 * @param weightOf - Weight of a tenant, above 0.
 * @returns The shares, without tenants.
 */
export const createTenantShares = (clock: Clock, weightOf: (tenant: string) => number): TenantShares => {
	const uses = new Map<string, TenantUse>();
	let activeWeight = 0;
	let sweptAtMs = -Infinity;

	const useOf = (tenant: string): TenantUse => {
		const nowMs = clock();
		let use = uses.get(tenant);
		if (use === undefined) {
			use = {
				inFlight: 0, meanInFlight: 0, updatedAtMs: nowMs, arrivedAtMs: nowMs,
			};
			uses.set(tenant, use);
			activeWeight += weightOf(tenant);
		}

		const kept = Math.exp((use.updatedAtMs - nowMs) / meanOverMs);
		use.meanInFlight = (kept * use.meanInFlight) + ((1 - kept) * use.inFlight);
		use.updatedAtMs = nowMs;
		return use;
	};

	const sweep = (nowMs: number) => {
		sweptAtMs = nowMs;
		activeWeight = 0;
		for (const [tenant, {inFlight, arrivedAtMs}] of uses) {
			if (inFlight === 0 && nowMs - arrivedAtMs > forgottenAfterMs) {
				uses.delete(tenant);
			} else {
				activeWeight += weightOf(tenant);
			}
		}
	};

	return {
		recordArrival(tenant) {
			const nowMs = clock();
			useOf(tenant).arrivedAtMs = nowMs;
			if (nowMs - sweptAtMs > sweepIntervalMs) {
				sweep(nowMs);
			}
		},
		start(tenant) {
			useOf(tenant).inFlight += 1;
		},
		end(tenant) {
			useOf(tenant).inFlight -= 1;
		},
		isOverShare(tenant, slots) {
			const share = weightOf(tenant) / Math.max(activeWeight, weightOf(tenant));
			return share < 1 && useOf(tenant).meanInFlight > tolerance * share * slots;
		},
		size: () => uses.size,
	};
};
