/**
 * Waits until a configuration version is in force at every live instance, by polling the entries.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import type {SocketAddress} from '@filbertwell/types/place';
import {
	requireAdminAddresses, fetchStates, formatAdminError, mergeMembers,
} from './queryEntries.js';
import type {CommandContext} from './commandContext.js';
import type {CommandFailure} from './commandFailure.js';

/** A live instance and the configuration version in force there. */
export type InstanceVersion = {
	readonly id: string;
	readonly availabilityZone: string;
	/** `undefined` if no entry lists the instance as a member. */
	readonly version: number | undefined;
};

/** Result of a wait: the live instances, and those where the configuration version is not in force. */
export type InForceReport = {
	readonly version: number;
	/** All live instances, ordered by id. */
	readonly instances: readonly InstanceVersion[];
	/** Instances with a lower or unknown version. */
	readonly lagging: readonly InstanceVersion[];
	/** Duration of the wait in seconds. */
	readonly seconds: number;
	/** Errors of the entries that did not respond, one line each. */
	readonly unanswered: readonly string[];
};

const pollIntervalMs = 100;
const millisecondsPerSecond = 1000;

/** Lists the live instances with their versions; without the platform, only those that the entries list as members. */
const observeVersions = async ({platform}: CommandContext, addresses: readonly SocketAddress[]) => {
	const [listed, answers] = await Promise.all([platform.instances.list(), fetchStates(addresses)]);
	const members = mergeMembers(answers.states).filter(member => member.state !== 'leaving');
	const versions = new Map<string, InstanceVersion>(members.map(({id, availabilityZone, configurationVersion}) => [id, {id, availabilityZone, version: configurationVersion}]));
	const live = listed.isOk() ? listed.value.filter(({kind, state}) => kind !== 'upstream' && state === 'live') : [];
	for (const {id, availabilityZone} of live) {
		if (!versions.has(id)) {
			versions.set(id, {id, availabilityZone, version: undefined});
		}
	}

	return {
		instances: [...versions.values()].toSorted((a, b) => a.id < b.id ? -1 : 1),
		unanswered: answers.errors.map(error => formatAdminError(error)),
	};
};

/**
 * Waits until a configuration version, or a later one, is in force at every live instance.
 *
 * @param context - Context of the command.
 * @param version - The version to wait for.
 * @param timeoutSeconds - Maximum wait in seconds.
 * @returns The last observation; after a timeout it lists lagging instances. A failure if the settings
 * have no admin addresses.
 */
export const awaitInForce = async (context: CommandContext, version: number, timeoutSeconds: number): Promise<Result<InForceReport, CommandFailure>> => {
	const addresses = requireAdminAddresses(context);
	if (addresses.isErr()) {
		return err(addresses.error);
	}

	const startedAt = context.clock();
	for (;;) {
		const {instances, unanswered} = await observeVersions(context, addresses.value); // eslint-disable-line no-await-in-loop
		const lagging = instances.filter(instance => (instance.version ?? 0) < version);
		const seconds = (context.clock() - startedAt) / millisecondsPerSecond;
		const isComplete = instances.length > 0 && lagging.length === 0;
		if (isComplete || seconds >= timeoutSeconds) {
			return ok({
				version, instances, lagging, seconds, unanswered,
			});
		}

		await delay(pollIntervalMs); // eslint-disable-line no-await-in-loop
	}
};
