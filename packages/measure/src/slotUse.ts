/**
 * Measures for how much of the time endpoints had more requests than slots.
 */
import {zoneStatistics} from '@filbertwell/harness/ledgers';
import type {Deployment} from '@filbertwell/harness/startDeployment';

/**
 * Finds the largest share of time that an endpoint had more requests present than slots.
 *
 * @param deployment - The running deployment.
 * @param service - Service whose endpoints are considered.
 * @param zones - Availability zones whose endpoints are considered.
 * @returns Time over slots as a share of the observed time, from 0 to 1.
 */
export const largestOverSlots = async (deployment: Deployment, service: string, zones: readonly string[]): Promise<number> => {
	const ids = new Set(deployment.intent().services.find(({name}) => name === service)!.endpoints.map(({id}) => id));
	const statistics = await Promise.all(zones.map(async zone => zoneStatistics(deployment, zone)));
	const overSlotShares = statistics
		.flatMap(byEndpoint => Object.entries(byEndpoint))
		.filter(([id]) => ids.has(id))
		.map(([, {overSlotsMs, observedMs}]) => observedMs > 0 ? overSlotsMs / observedMs : 0);
	return Math.max(0, ...overSlotShares);
};

/**
 * Lists the availability zones of selected regions.
 *
 * @param deployment - The running deployment.
 * @param isWanted - Selects regions by name.
 * @returns The zones of the selected regions.
 */
export const zonesOf = (deployment: Deployment, isWanted: (region: string) => boolean): readonly string[] => deployment.intent().regions
	.filter(({name}) => isWanted(name))
	.flatMap(({availabilityZones}) => availabilityZones);
