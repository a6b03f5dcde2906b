/**
 * Keeps this process in the platform's list of instances.
 */
import {entryEvents} from '@filbertwell/logger/events/entryEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {InstanceList, InstanceState, ListedInstance} from '@filbertwell/platform/instanceList';
import {runPeriodically} from '@filbertwell/utils/periodic';
import type {Random} from '@filbertwell/utils/random';

/** Parameters of the registration. */
export type RegistrationOptions = {
	readonly instances: InstanceList;
	readonly instance: Omit<ListedInstance, 'state'>;
	readonly random: Random;
	readonly log: Logger;
};

/** A running registration. */
export type Registration = {
	/** Changes the listed state; tried again until the platform takes it. */
	readonly setState: (state: InstanceState) => void;
	/** Takes the process off the list, with one attempt. */
	readonly remove: () => Promise<void>;
	/** Leaves the list to a later process with the same id. */
	readonly abandon: () => void;
};

const retryIntervalMs = 1000;
const retryJitter = 0.3;

/**
 * Starts to register.
 *
 * @param options - The list and this process.
 * @returns The registration.
 */
export const startRegistration = ({instances, instance, random, log}: RegistrationOptions): Registration => {
	const stopping = new AbortController();
	let wanted: InstanceState = 'live';
	let listed: InstanceState | undefined;

	const register = async (): Promise<void> => {
		const state = wanted;
		if (listed === state) {
			return;
		}

		const result = await instances.register({...instance, state});
		if (result.isOk()) {
			listed = state;
		} else {
			log(entryEvents.registrationFailed, {state, reason: result.error.detail});
		}
	};

	void runPeriodically({
		intervalMs: retryIntervalMs, jitter: retryJitter, random, signal: stopping.signal, task: register,
	});

	return {
		setState(state) {
			wanted = state;
			void register();
		},
		async remove() {
			stopping.abort();
			await instances.deregister(instance.id);
		},
		abandon() {
			stopping.abort();
		},
	};
};
