/**
 * Assembles and runs a look-up process: control plane, and the servers for callers and operators.
 */
import {createAdminServer} from '@filbertwell/entry/adminServer';
import {startControlPlane} from '@filbertwell/entry/controlPlane';
import {describeControlState} from '@filbertwell/entry/controlState';
import {waitForFirstConfiguration} from '@filbertwell/entry/firstConfiguration';
import {startRegistration} from '@filbertwell/entry/instanceRegistration';
import {processEvents} from '@filbertwell/logger/events/processEvents';
import {createLogger} from '@filbertwell/logger/logger';
import {createMetrics} from '@filbertwell/metrics/createMetrics';
import type {LookupSettings} from '@filbertwell/settings/lookupSettings';
import type {SocketAddress} from '@filbertwell/types/place';
import {monotonicClock as clock} from '@filbertwell/utils/clock';
import {waitUnlessAborted} from '@filbertwell/utils/periodic';
import {createRandom} from '@filbertwell/utils/random';
import {err} from 'neverthrow';
import {createLookupServer} from './lookupServer.js';

/** A running look-up process. */
export type LookupRuntime = {
	/** Listening address for look-ups. */
	readonly callers: SocketAddress;
	/** Listening address for operators and metrics collectors. */
	readonly admin: SocketAddress;
	/** Announces to peers that the process is leaving, serves look-ups for the drain margin, and closes. */
	readonly stop: () => Promise<void>;
};

const maximumLabelSets = 1;

/**
 * Starts a look-up process. It serves once a configuration is in force.
 *
 * @param settings - Checked settings.
 * @param seed - Seed of its random numbers.
 * @param stopRequested - Aborted when the process is asked to stop; ends the wait for the first configuration.
 * @returns The running process; rejects if it can't listen on an address.
 */
export const startLookupRuntime = async (settings: LookupSettings, seed: number, stopRequested: AbortSignal): Promise<LookupRuntime> => {
	const log = createLogger('lookup');
	const random = createRandom(seed);
	const metrics = createMetrics({maximumLabelSets});
	const {id, availabilityZone} = settings.process;
	const stopping = new AbortController();
	let isServing = false;
	/** Whether a newer process uses the same id; this process then leaves the listed instance to it. */
	let isSuperseded = false;

	const control = await startControlPlane({
		settings, role: 'lookup', callerAddress: settings.callers, clock, random, metrics,
	});
	const {platform, channel, membership, follower, lookup} = control;
	const registration = startRegistration({
		instances: platform.instances,
		instance: {
			id, kind: 'lookup', host: settings.peers.host, port: channel.address.port, availabilityZone,
		},
		random,
		log,
	});
	const admin = await createAdminServer({
		address: settings.admin,
		readiness: () => isServing ? {ready: true, reason: 'serving'} : {ready: false, reason: 'no configuration is in force yet, or the process is stopping'},
		state: () => ({...describeControlState(control), shifts: []}),
		exposition: async () => metrics.exposition(),
		explain: () => err('a look-up process carries no requests; ask an entry'),
		acceptOffer: ({head, parts}) => follower.offer(head, parts),
	});
	metrics.observeGauge('configuration_version', 'Version of the configuration in force', () => follower.current()?.version ?? 0);
	metrics.observeGauge('members', 'Members that are not known to be gone', () => membership.members().length);
	const callers = await createLookupServer({
		address: settings.callers, lookup, intent: () => follower.current()?.intent, log,
	});

	const endRegistration = async () => {
		if (isSuperseded) {
			registration.abandon();
		} else {
			await registration.remove();
		}
	};

	const stop = async (): Promise<void> => {
		if (stopping.signal.aborted) {
			return;
		}

		stopping.abort();
		isServing = false;
		log(processEvents.stopping, {id});
		membership.announceState('leaving');
		if (!isSuperseded) {
			registration.setState('leaving');
		}

		await waitUnlessAborted(settings.stop.drainMarginMs, new AbortController().signal);
		await callers.close();
		await endRegistration();
		await control.stop();
		await admin.close();
		log(processEvents.stopped, {id});
	};

	membership.superseded.subscribe(() => {
		isSuperseded = true;
		void stop();
	});
	const configuration = await waitForFirstConfiguration(follower, stopRequested);
	if (configuration !== undefined) {
		isServing = true;
		membership.announceState('serving');
		log(processEvents.started, {id, callers: `${callers.address.host}:${callers.address.port}`, version: configuration.version});
	}

	return {callers: callers.address, admin: admin.address, stop};
};
