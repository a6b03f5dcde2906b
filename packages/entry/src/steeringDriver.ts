/**
 * Drives steering: initializes it with the peers' splits, advances it over time, and adopts the
 * peers' splits again after a pause of the process.
 */
import {createLogger} from '@filbertwell/logger/logger';
import {steeringEvents} from '@filbertwell/logger/events/steeringEvents';
import {createSteering, type SteeringController} from '@filbertwell/steering/createSteering';
import type {RegionalSplit} from '@filbertwell/types/split';
import type {Clock} from '@filbertwell/utils/clock';
import type {ControlPlane} from './controlPlane.js';
import {fetchInitialSplits} from './initialSplits.js';

/** Region and dependencies of the driver. */
export type SteeringDriverOptions = {
	readonly region: string;
	readonly clock: Clock;
	readonly control: Pick<ControlPlane, 'membership' | 'channel' | 'follower'>;
	readonly signal: AbortSignal;
};

/** Runs the steering of an entry. */
export type SteeringDriver = {
	/** The current steering; it has no splits before `start`. */
	readonly steering: () => SteeringController;
	/** Fetches the peers' splits, then follows the configuration in force and serves the splits to peers. */
	readonly start: () => Promise<void>;
	/** Advances the splits; to be called about every 250 ms. */
	readonly step: () => Promise<void>;
};

/** Length of a pause after which callers are assumed to have switched to this entry's peers. */
const adoptAfterPauseMs = 2000;

/**
 * Creates a driver, which does nothing until `start`.
 *
 * @param options - Region and dependencies.
 * @returns The driver; before `start` its steering has no splits, so locality decides.
 */
export const createSteeringDriver = ({region, clock, control, signal}: SteeringDriverOptions): SteeringDriver => {
	const {membership, channel, follower} = control;
	const log = createLogger('steering');

	const create = (peerSplits: readonly RegionalSplit[]): SteeringController => createSteering({
		region, clock, log, members: () => membership.members(), peerSplits,
	});

	const fetchSplits = async (): Promise<readonly RegionalSplit[]> => {
		const peerSplits = await fetchInitialSplits({
			membership, channel, clock, signal,
		});
		if (peerSplits.length > 0) {
			log(steeringEvents.startedFromPeers, {splits: peerSplits.length});
		}

		return peerSplits;
	};

	let steering = create([]);

	return {
		steering: () => steering,
		async start() {
			steering = create(await fetchSplits());
			follower.inForce.subscribe(configuration => {
				steering.configure(configuration);
			});
			channel.handle('steering.splits', () => ({configurationVersion: follower.current()?.version ?? 0, splits: steering.splits()}));
		},
		async step() {
			if (steering.step() >= adoptAfterPauseMs) {
				steering.adopt(await fetchSplits());
			}
		},
	};
};
