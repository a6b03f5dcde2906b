/**
 * How far endpoints were used beyond their slots.
 */
import {zoneStatistics} from '@filbertwell/harness/ledgers';
import type {Deployment} from '@filbertwell/harness/startDeployment';

/**
 * Finds the endpoint that was over its slots for the largest part of the time.
 *
 * @param deployment - The running deployment.
 * @param service - Service whose endpoints count.
 * @param zones - Availability zones that count.
 * @returns Time over slots as a part of the observed time, from 0 to 1.
 */
export const largestOverSlots = async (deployment: Deployment, service: string, zones: readonly string[]): Promise<number> => {
	const ids = new Set(deployment.intent().services.find(({name}) => name === service)!.endpoints.map(({id}) => id));
	const statistics = await Promise.all(zones.map(async zone => zoneStatistics(deployment, zone)));
	const parts = statistics
		.flatMap(byEndpoint => Object.entries(byEndpoint))
		.filter(([id]) => ids.has(id))
		.map(([, {overSlotsMs, observedMs}]) => observedMs > 0 ? overSlotsMs / observedMs : 0);
	return Math.max(0, ...parts);
};

/**
 * Lists the availability zones of regions.
 *
 * @param deployment - The running deployment.
 * @param isWanted - Whether a region counts.
 * @returns Their zones.
 */
export const zonesOf = (deployment: Deployment, isWanted: (region: string) => boolean): readonly string[] => deployment.intent().regions
	.filter(({name}) => isWanted(name))
	.flatMap(({availabilityZones}) => availabilityZones);
