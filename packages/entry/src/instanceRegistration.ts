/**
 * Registers this process in the platform's list of instances and retries until it succeeds.
 */
import {entryEvents} from '@filbertwell/logger/events/entryEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {InstanceList, InstanceState, ListedInstance} from '@filbertwell/platform/instanceList';
import {runPeriodically} from '@filbertwell/utils/periodic';
import type {Random} from '@filbertwell/utils/random';

/** The list, the process to register, and dependencies. */
export type RegistrationOptions = {
	readonly instances: InstanceList;
	readonly instance: Omit<ListedInstance, 'state'>;
	readonly random: Random;
	readonly log: Logger;
};

/** A running registration. */
export type Registration = {
	/** Changes the listed state; retried until the platform accepts it. */
	readonly setState: (state: InstanceState) => void;
	/** Stops registering and makes a single attempt to remove the process from the list. */
	readonly remove: () => Promise<void>;
	/** Stops registering but keeps the listed row, which belongs to a newer process with the same id. */
	readonly abandon: () => void;
};

const retryIntervalMs = 1000;
const retryJitter = 0.3;

/**
 * Starts registering the process as `live`, in the background.
 *
 * @param options - The list, the process to register, and dependencies.
 * @returns Functions that change or end the registration.
 */
export const startRegistration = ({instances, instance, random, log}: RegistrationOptions): Registration => {
	const stopping = new AbortController();
	let desiredState: InstanceState = 'live';
	let listedState: InstanceState | undefined;

	const register = async (): Promise<void> => {
		const state = desiredState;
		if (listedState === state) {
			return;
		}

		const result = await instances.register({...instance, state});
		if (result.isOk()) {
			listedState = state;
		} else {
			log(entryEvents.registrationFailed, {state, reason: result.error.detail});
		}
	};

	void runPeriodically({
		intervalMs: retryIntervalMs, jitter: retryJitter, random, signal: stopping.signal, task: register,
	});

	return {
		setState(state) {
			desiredState = state;
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
