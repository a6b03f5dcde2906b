/**
 * Waits for the first configuration when a process starts.
 */
import type {ConfigurationFollower} from '@filbertwell/configuration/follower';
import type {Configuration} from '@filbertwell/types/configuration';
import {
	firstValueFrom, fromEvent, map, merge, of,
} from 'rxjs';

/**
 * Waits until a configuration is in force or a stop is requested.
 *
 * @param follower - Emits the configuration in force.
 * @param stopRequested - Aborted when the process is asked to stop.
 * @returns The configuration, or `undefined` if the stop is requested first.
 */
export const waitForFirstConfiguration = async (follower: Pick<ConfigurationFollower, 'inForce'>, stopRequested: AbortSignal): Promise<Configuration | undefined> => {
	const stops = stopRequested.aborted ? of(undefined) : fromEvent(stopRequested, 'abort').pipe(map(() => undefined));
	return firstValueFrom(merge(stops, follower.inForce));
};
