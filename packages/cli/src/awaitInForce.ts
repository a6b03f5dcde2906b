/**
 * Waits until a version is in force at every live instance.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import type {SocketAddress} from '@filbertwell/types/place';
import {
	adminAddresses, askAll, formatAdminError, joinMembers,
} from './askEntries.js';
import type {CommandContext} from './commandContext.js';
import type {CommandFailure} from './commandFailure.js';

/** A live instance and the version that is in force there. */
export type InstanceVersion = {
	readonly id: string;
	readonly availabilityZone: string;
	/** `undefined` where no entry has heard of the instance. */
	readonly version: number | undefined;
};

/** Where a version is in force. */
export type InForceReport = {
	readonly version: number;
	readonly instances: readonly InstanceVersion[];
	readonly lagging: readonly InstanceVersion[];
	readonly seconds: number;
	/** Entries that gave no answer, and why. */
	readonly unanswered: readonly string[];
};

const pollIntervalMs = 100;
const millisecondsPerSecond = 1000;

/** Lists live instances of the system; while the platform is down, those that the entries know. */
const observeVersions = async ({platform}: CommandContext, addresses: readonly SocketAddress[]) => {
	const [listed, answers] = await Promise.all([platform.instances.list(), askAll(addresses)]);
	const members = joinMembers(answers.states).filter(member => member.state !== 'leaving');
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
 * Waits until a version, or a later one, is in force at every live instance.
 *
 * @param context - Context of the command.
 * @param version - The version.
 * @param timeoutSeconds - Longest wait.
 * @returns The last observation, with the instances that lag, or what the settings miss.
 */
export const awaitInForce = async (context: CommandContext, version: number, timeoutSeconds: number): Promise<Result<InForceReport, CommandFailure>> => {
	const addresses = adminAddresses(context);
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
