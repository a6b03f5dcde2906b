/**
 * Follows the traffic plan, the evacuated availability zones and the endpoints, from the store and from peers.
 */
import {createEndpointDirectory, type EndpointDirectory} from '@filbertwell/discovery/endpointDirectory';
import {followTable} from '@filbertwell/discovery/followTable';
import {createPlanFollower, type PlanFollower} from '@filbertwell/discovery/planFollower';
import {createRowReplica, type RowReplica} from '@filbertwell/discovery/rowReplica';
import {awaitChanges, createSharedTable, type ReadFromReader} from '@filbertwell/discovery/sharedTable';
import {createTableReaders} from '@filbertwell/discovery/tableReaders';
import type {VersionedRows, WatchedTable} from '@filbertwell/discovery/watchedTable';
import {createLogger} from '@filbertwell/logger/logger';
import type {Membership} from '@filbertwell/membership/membership';
import type {PeerChannel} from '@filbertwell/peer-protocol/peerChannel';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import type {GatewayAdapter} from './gatewayAdapter.js';

/** Current state of plan, evacuations and endpoints. */
export type TrafficState = {
	readonly plan: PlanFollower['plan'];
	/** Time since the plan was last known to be the newest one, in milliseconds. */
	readonly planAgeMs: () => number;
	/** Whether a newer plan may have to be in force: a peer has one, or the replica is older than the bound on plans. */
	readonly isPlanOutdated: () => boolean;
	readonly evacuatedZones: PlanFollower['evacuatedZones'];
	readonly endpoints: EndpointDirectory['endpoints'];
	/** Removes endpoints whose registrations have expired. Must be called several times a second. */
	readonly removeExpired: () => void;
};

/** Dependencies of the traffic state. */
export type TrafficStateOptions = {
	readonly adapter: GatewayAdapter;
	readonly membership: Membership;
	readonly channel: PeerChannel;
	readonly clock: Clock;
	readonly random: Random;
	/** Stops following the tables when it is aborted. */
	readonly signal: AbortSignal;
	/** Time within which an accepted plan must be in force, in milliseconds. */
	readonly planMs: () => number;
	/** Called after each change of the state. */
	readonly onChange: () => void;
};

/** Names of the followed tables. */
export type TableName = 'operators' | 'registrations';

/** Pauses after a read of a table. Operators' rows must take effect immediately; registrations arrive in bursts. */
const operatorPauseMs = 20;
const registrationPauseMs = 200;

/**
 * Starts following the tables of the platform.
 *
 * @param options - Platform, peers and change callback.
 * @returns The state; empty until the first successful read.
 */
export const followTraffic = ({adapter, membership, channel, clock, random, signal, planMs, onChange}: TrafficStateOptions): TrafficState => {
	const log = createLogger('discovery');
	const planFollower = createPlanFollower(adapter.decodeOperatorRow, log);
	const endpointDirectory = createEndpointDirectory({decode: adapter.decodeEndpoint, clock, log});
	const replicas: Readonly<Record<TableName, RowReplica>> = {operators: createRowReplica(clock), registrations: createRowReplica(clock)};

	const isPlanBehindPeers = (): boolean => {
		const version = planFollower.plan()?.version ?? 0;
		return membership.members().some(({configurationVersion}) => configurationVersion > version);
	};

	const readRowsFromPeer = async (table: TableName): Promise<VersionedRows | undefined> => {
		const self = membership.self();
		const peers = membership.members().filter(({id, health}) => id !== self.id && health === 'alive');
		const peer = peers[Math.floor(random() * peers.length)];
		if (peer === undefined) {
			return undefined;
		}

		const response = await channel.call(peer.peerAddress, 'discovery.rows', {table, newerThan: replicas[table].version() ?? -1});
		return response.isOk() ? response.value.reading : undefined;
	};

	channel.handle('discovery.rows', ({table, newerThan}) => {
		const snapshot = replicas[table].snapshot();
		return snapshot === undefined || snapshot.version <= newerThan
			? {}
			: {reading: {version: snapshot.version, rows: snapshot.rows.map(({key, value}) => ({key, value: value ?? ''}))}};
	});

	channel.handle('discovery.changes', async ({table, after, waitMs}) => {
		const {reading, ageMs} = await awaitChanges(replicas[table], after, waitMs, clock);
		return {ageMs, ...(reading !== undefined && {reading: {version: reading.version, rows: [...reading.rows]}})};
	});

	const readers = createTableReaders({
		clock,
		self: membership.self(),
		instances: () => membership.members().filter(({health, state}) => health === 'alive' && state === 'serving'),
	});
	const readChangesFromReader = (table: TableName): ReadFromReader => async ({peerAddress}, afterVersion, waitMs) => {
		const response = await channel.call(peerAddress, 'discovery.changes', {table, after: afterVersion, waitMs});
		return response
			.map(({reading, ageMs}) => ({reading: reading === undefined ? undefined : {version: reading.version, rows: reading.rows.map(({key, value}) => ({key, value}))}, ageMs}))
			.mapErr(({detail}) => detail);
	};

	const sharedTable = (table: TableName, store: WatchedTable): WatchedTable => createSharedTable({
		store, readers, readFromReader: readChangesFromReader(table), clock,
	});
	const commonOptions = {
		random, log, signal, waitMs: readers.storeWaitMs,
	};
	void followTable({
		...commonOptions,
		name: 'operators',
		table: sharedTable('operators', adapter.operators),
		replica: replicas.operators,
		readFromPeer: async () => readRowsFromPeer('operators'),
		pauseMs: operatorPauseMs,
		onChange({rows}) {
			planFollower.apply(rows);
			onChange();
		},
	});
	void followTable({
		...commonOptions,
		name: 'registrations',
		table: sharedTable('registrations', adapter.registrations),
		replica: replicas.registrations,
		readFromPeer: async () => readRowsFromPeer('registrations'),
		pauseMs: registrationPauseMs,
		onChange(change) {
			endpointDirectory.apply(change);
			onChange();
		},
	});

	return {
		plan: planFollower.plan,
		planAgeMs: replicas.operators.ageMs,
		isPlanOutdated: () => replicas.operators.ageMs() > planMs() || isPlanBehindPeers(),
		evacuatedZones: planFollower.evacuatedZones,
		endpoints: endpointDirectory.endpoints,
		removeExpired() {
			if (endpointDirectory.removeExpired()) {
				onChange();
			}
		},
	};
};
