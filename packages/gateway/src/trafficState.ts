/**
 * Follows the traffic plan, the evacuated availability zones and the endpoints, from the store and from peers.
 */
import {createEndpointDirectory, type EndpointDirectory} from '@filbertwell/discovery/endpointDirectory';
import {followTable} from '@filbertwell/discovery/followTable';
import {createPlanFollower, type PlanFollower} from '@filbertwell/discovery/planFollower';
import {createRowReplica, type RowReplica} from '@filbertwell/discovery/rowReplica';
import {readTimesOf, type UpdateBounds} from '@filbertwell/discovery/readTimes';
import {
	awaitChanges, createSharedTable, type ReadFromReader, type SharedChanges,
} from '@filbertwell/discovery/sharedTable';
import {createTableReaders} from '@filbertwell/discovery/tableReaders';
import type {VersionedRows, WatchedTable} from '@filbertwell/discovery/watchedTable';
import {discoveryEvents} from '@filbertwell/logger/events/discoveryEvents';
import {createLogger} from '@filbertwell/logger/logger';
import type {Membership} from '@filbertwell/membership/membership';
import type {PeerChannel} from '@filbertwell/peer-protocol/peerChannel';
import type {ListedInstance} from '@filbertwell/platform/instanceList';
import type {Member} from '@filbertwell/types/member';
import type {AvailabilityZoneName, RegionName, SocketAddress} from '@filbertwell/types/place';
import type {Clock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import type {Result} from 'neverthrow';
import {firstValueFrom, race, timer} from 'rxjs';
import type {GatewayAdapter} from './gatewayAdapter.js';
import {createReaderCandidates} from './readerCandidates.js';

/** Current state of plan, evacuations and endpoints. */
export type TrafficState = {
	readonly plan: PlanFollower['plan'];
	/** Time since the plan was last known to be the newest one, in milliseconds. */
	readonly planAgeMs: () => number;
	/** Time since the registrations were last known to be current, in milliseconds. */
	readonly registrationsAgeMs: () => number;
	/** Whether a newer plan may have to be in force: a peer has one, or the replica is older than the bound on plans. */
	readonly isPlanOutdated: () => boolean;
	/** Whether the platform, or a peer that reads it, has answered within the time of one read. */
	readonly isPlatformReachable: () => boolean;
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
	/** Bounds of the deployment. */
	readonly bounds: () => UpdateBounds;
	readonly regionOfZone: () => ReadonlyMap<AvailabilityZoneName, RegionName>;
	/** Whether all instances of the deployment start for the first time. */
	readonly isFirstStart: boolean;
	/** Called after each change of the state. */
	readonly onChange: () => void;
};

/** Names of the followed tables. */
export type TableName = 'operators' | 'registrations';

/** Pauses after a read of a table. Operators' rows must take effect immediately; registrations arrive in bursts. */
const operatorPauseMs = 20;
const registrationPauseMs = 200;
/** Time after which the tables are read although the list of instances could not be read. */
const listTimeoutMs = 2000;

/**
 * Starts following the tables of the platform.
 *
 * @param options - Platform, peers and change callback.
 * @returns The state; empty until the first successful read.
 */
export const followTraffic = ({adapter, membership, channel, clock, random, signal, bounds, regionOfZone, isFirstStart, onChange}: TrafficStateOptions): TrafficState => {
	let listed: readonly ListedInstance[] = [];
	membership.listed.subscribe(instances => {
		listed = instances;
	});
	// Shows how large the deployment is, and with it who reads the store.
	const firstListing = isFirstStart ? firstValueFrom(race(membership.listed, timer(listTimeoutMs))) : undefined;
	const times = () => readTimesOf(bounds());
	const log = createLogger('discovery');
	const planFollower = createPlanFollower(adapter.decodeOperatorRow, log);
	const endpointDirectory = createEndpointDirectory({decode: adapter.decodeEndpoint, clock, log});
	const replicas: Readonly<Record<TableName, RowReplica>> = {operators: createRowReplica(clock), registrations: createRowReplica(clock)};

	const isPlanBehindPeers = (): boolean => {
		const version = planFollower.plan()?.version ?? 0;
		return membership.members().some(({configurationVersion, health}) => health === 'alive' && configurationVersion > version);
	};

	/** Ids of peers that did not answer the latest call. */
	const unresponsive = new Set<string>();

	/** Chooses a peer with the newest plan for the operators' rows, and any peer for the registrations; one that answers if possible. */
	const choosePeer = (table: TableName): Member | undefined => {
		const self = membership.self();
		const peers = membership.members().filter(({id, health}) => id !== self.id && health === 'alive');
		const newest = Math.max(...peers.map(({configurationVersion}) => configurationVersion));
		const eligible = table === 'operators' ? peers.filter(({configurationVersion}) => configurationVersion === newest) : peers;
		const responsive = eligible.filter(({id}) => !unresponsive.has(id));
		if (responsive.length === 0) {
			unresponsive.clear();
		}

		const candidates = responsive.length === 0 ? eligible : responsive;
		return candidates[Math.floor(random() * candidates.length)];
	};

	const readRowsFrom = async (address: SocketAddress, table: TableName, newerThan: number, timeoutMs?: number): Promise<Result<SharedChanges, string>> => {
		const response = await channel.call(address, 'discovery.rows', {table, newerThan}, timeoutMs);
		return response
			.map(({reading, ageMs = Number.POSITIVE_INFINITY}) => ({reading, ageMs}))
			.mapErr(({detail}) => detail);
	};

	const readRowsFromPeer = async (table: TableName): Promise<VersionedRows | undefined> => {
		const peer = choosePeer(table);
		if (peer === undefined) {
			return undefined;
		}

		const startedAtMs = clock();
		const response = await readRowsFrom(peer.peerAddress, table, replicas[table].version() ?? -1, times().answerMs);
		if (response.isErr()) {
			unresponsive.add(peer.id);
			log(discoveryEvents.peerReadFailed, {
				table, peer: peer.id, reason: response.error, tookMs: Math.round(clock() - startedAtMs),
			});
			return undefined;
		}

		const {reading, ageMs} = response.value;
		return reading === undefined ? undefined : {...reading, ageMs};
	};

	channel.handle('discovery.rows', ({table, newerThan}) => {
		const snapshot = replicas[table].snapshot();
		return snapshot === undefined || snapshot.version <= newerThan
			? {ageMs: replicas[table].ageMs()}
			: {ageMs: replicas[table].ageMs(), reading: {version: snapshot.version, rows: snapshot.rows.map(({key, value}) => ({key, value: value ?? ''}))}};
	});

	channel.handle('discovery.changes', async ({table, after, waitMs}) => {
		const {reading, ageMs} = await awaitChanges(replicas[table], after, waitMs, {clock, staleAfterMs: times().staleAfterMs});
		return {ageMs, ...(reading !== undefined && {reading: {version: reading.version, rows: [...reading.rows]}})};
	});

	const readers = createTableReaders({
		clock, self: membership.self(), instances: createReaderCandidates({membership, listed: () => listed, regionOfZone}), times,
	});
	const readChangesFromReader = (table: TableName): ReadFromReader => async ({peerAddress}, afterVersion, waitMs) => {
		const response = await channel.call(peerAddress, 'discovery.changes', {table, after: afterVersion, waitMs});
		return response
			.map(({reading, ageMs}) => ({reading: reading === undefined ? undefined : {version: reading.version, rows: reading.rows.map(({key, value}) => ({key, value}))}, ageMs}))
			.mapErr(({detail}) => detail);
	};

	const sharedTable = (table: TableName, store: WatchedTable): WatchedTable => createSharedTable({
		store, readers, readFromReader: readChangesFromReader(table), readAllFromReader: async ({peerAddress}) => readRowsFrom(peerAddress, table, -1), clock, times, isFirstStart,
	});
	const commonOptions = {
		clock, random, log, signal, waitMs: readers.storeWaitMs, maximumRetryMs: () => times().maximumRetryMs,
	};
	const followOperators = async () => followTable({
		...commonOptions,
		name: 'operators',
		table: sharedTable('operators', adapter.operators),
		replica: replicas.operators,
		readFromPeer: async () => readRowsFromPeer('operators'),
		isBehindPeers: isPlanBehindPeers,
		pauseMs: operatorPauseMs,
		onChange({rows}) {
			planFollower.apply(rows);
			onChange();
		},
	});
	const followRegistrations = async () => followTable({
		...commonOptions,
		name: 'registrations',
		table: sharedTable('registrations', adapter.registrations),
		replica: replicas.registrations,
		readFromPeer: async () => readRowsFromPeer('registrations'),
		isBehindPeers: () => false,
		pauseMs: registrationPauseMs,
		onChange(change) {
			endpointDirectory.apply(change);
			onChange();
		},
	});

	const follow = async () => {
		// After a restart callers are waiting for the plan, so the store is read at once.
		await firstListing;
		await Promise.all([followOperators(), followRegistrations()]);
	};

	void follow();

	return {
		plan: planFollower.plan,
		planAgeMs: replicas.operators.ageMs,
		registrationsAgeMs: replicas.registrations.ageMs,
		isPlanOutdated: () => replicas.operators.ageMs() > bounds().planMs || isPlanBehindPeers(),
		isPlatformReachable: () => Math.min(replicas.operators.ageMs(), replicas.registrations.ageMs()) <= times().storeWaitMs + times().answerMs,
		evacuatedZones: planFollower.evacuatedZones,
		endpoints: endpointDirectory.endpoints,
		removeExpired() {
			if (endpointDirectory.removeExpired()) {
				onChange();
			}
		},
	};
};
