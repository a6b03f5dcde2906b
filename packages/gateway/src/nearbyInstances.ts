/**
 * Which instances a caller should connect to: those of its own region, else all.
 */
import type {Member} from '@filbertwell/types/member';

/** Where a caller is. */
export type CallerPlace = {
	readonly region: string;
	readonly availabilityZone: string;
};

const isServing = ({state, health, role}: Member): boolean => role === 'entry' && state === 'serving' && health === 'alive';

/**
 * Chooses instances for a caller.
 *
 * @param members - All members.
 * @param place - Where the caller is.
 * @param maximum - Most instances.
 * @returns Instances in the caller's region, or all where it has none; each as `host:port`.
 */
export const nearbyInstances = (members: readonly Member[], place: CallerPlace, maximum: number): string[] => {
	const serving = members.filter(member => isServing(member));
	const inRegion = serving.filter(({region}) => region === place.region);
	const chosen = inRegion.length > 0 ? inRegion : serving;
	return chosen.slice(0, maximum).map(({callerAddress}) => `${callerAddress.host}:${callerAddress.port}`);
};
