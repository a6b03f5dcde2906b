/**
 * Drives steering: starts it from the peers' splits, moves it with time, and takes the peers'
 * splits again after a pause of the process.
 */
import {createLogger} from '@filbertwell/logger/logger';
import {steeringEvents} from '@filbertwell/logger/events/steeringEvents';
import {createSteering, type SteeringController} from '@filbertwell/steering/createSteering';
import type {RegionalSplit} from '@filbertwell/types/split';
import type {Clock} from '@filbertwell/utils/clock';
import type {ControlPlane} from './controlPlane.js';
import {fetchStartingSplits} from './startingSplits.js';

/** Parameters of the driver. */
export type SteeringDriverOptions = {
	readonly region: string;
	readonly clock: Clock;
	readonly control: Pick<ControlPlane, 'membership' | 'channel' | 'follower'>;
	readonly signal: AbortSignal;
};

/** Driven steering. */
export type SteeringDriver = {
	/** Steering in use; without a split before `start`. */
	readonly steering: () => SteeringController;
	/** Takes the peers' splits, then follows the configuration in force. */
	readonly start: () => Promise<void>;
	/** Moves the splits; called about every 250 ms. */
	readonly step: () => Promise<void>;
};

/** Pause after which callers have given this entry up and use its peers. */
const adoptAfterPauseMs = 2000;

/**
 * Creates the driver.
 *
 * @param options - Region, clock and control plane.
 * @returns The driver; its steering leaves the choice to locality before `start`.
 */
export const createSteeringDriver = ({region, clock, control, signal}: SteeringDriverOptions): SteeringDriver => {
	const {membership, channel, follower} = control;
	const log = createLogger('steering');

	const create = (peerSplits: readonly RegionalSplit[]): SteeringController => createSteering({
		region, clock, log, members: () => membership.members(), peerSplits,
	});

	const fetchSplits = async (): Promise<readonly RegionalSplit[]> => {
		const peerSplits = await fetchStartingSplits({
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
