/**
 * Waiting for the first configuration of a starting process.
 */
import type {ConfigurationFollower} from '@filbertwell/configuration/follower';
import type {Configuration} from '@filbertwell/types/configuration';
import {
	firstValueFrom, fromEvent, map, merge, of,
} from 'rxjs';

/**
 * Waits until a configuration is in force or a stop is asked for.
 *
 * @param follower - Follows the accepted configuration.
 * @param stopRequested - Aborted when the process is to stop.
 * @returns The configuration; `undefined` where the stop came first.
 */
export const firstConfiguration = async (follower: Pick<ConfigurationFollower, 'inForce'>, stopRequested: AbortSignal): Promise<Configuration | undefined> => {
	const stops = stopRequested.aborted ? of(undefined) : fromEvent(stopRequested, 'abort').pipe(map(() => undefined));
	return firstValueFrom(merge(stops, follower.inForce));
};
