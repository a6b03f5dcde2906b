/**
 * The plan, the evacuations and the endpoints, followed from the store and from peers.
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

/** Followed state. */
export type TrafficState = {
	readonly plan: PlanFollower['plan'];
	readonly evacuatedZones: PlanFollower['evacuatedZones'];
	readonly endpoints: EndpointDirectory['endpoints'];
	/** Drops endpoints whose registrations lapsed; called several times a second. */
	readonly step: () => void;
};

/** Parameters of the followed state. */
export type TrafficStateOptions = {
	readonly adapter: GatewayAdapter;
	readonly membership: Membership;
	readonly channel: PeerChannel;
	readonly clock: Clock;
	readonly random: Random;
	readonly signal: AbortSignal;
	readonly onChange: () => void;
};

/** Tables that are followed. */
export type TableName = 'operators' | 'registrations';

/** Operators' rows take effect at once; registrations come in bursts. */
const operatorPauseMs = 20;
const registrationPauseMs = 200;

/**
 * Starts to follow.
 *
 * @param options - Platform and peers.
 * @returns The state, empty at first.
 */
export const followTraffic = ({adapter, membership, channel, clock, random, signal, onChange}: TrafficStateOptions): TrafficState => {
	const log = createLogger('discovery');
	const follower = createPlanFollower(adapter.decodeOperatorRow, log);
	const directory = createEndpointDirectory({decode: adapter.decodeEndpoint, clock, log});
	const replicas: Readonly<Record<TableName, RowReplica>> = {operators: createRowReplica(clock), registrations: createRowReplica(clock)};

	const readFromPeer = async (table: TableName): Promise<VersionedRows | undefined> => {
		const self = membership.self();
		const peers = membership.members().filter(({id, health}) => id !== self.id && health === 'alive');
		const peer = peers[Math.floor(random() * peers.length)];
		if (peer === undefined) {
			return undefined;
		}

		const answer = await channel.call(peer.peerAddress, 'discovery.rows', {table, newerThan: replicas[table].version() ?? -1});
		return answer.isOk() ? answer.value.reading : undefined;
	};

	channel.handle('discovery.rows', ({table, newerThan}) => {
		const contents = replicas[table].snapshot();
		return contents === undefined || contents.version <= newerThan
			? {}
			: {reading: {version: contents.version, rows: contents.rows.map(({key, value}) => ({key, value: value ?? ''}))}};
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
	const readFromReader = (table: TableName): ReadFromReader => async ({peerAddress}, after, waitMs) => {
		const answer = await channel.call(peerAddress, 'discovery.changes', {table, after, waitMs});
		return answer
			.map(({reading, ageMs}) => ({reading: reading === undefined ? undefined : {version: reading.version, rows: reading.rows.map(({key, value}) => ({key, value}))}, ageMs}))
			.mapErr(({detail}) => detail);
	};

	const shared = (table: TableName, store: WatchedTable): WatchedTable => createSharedTable({
		store, readers, readFromReader: readFromReader(table), clock,
	});
	const common = {
		random, log, signal, waitMs: readers.storeWaitMs,
	};
	void followTable({
		...common,
		name: 'operators',
		table: shared('operators', adapter.operators),
		replica: replicas.operators,
		readFromPeer: async () => readFromPeer('operators'),
		pauseMs: operatorPauseMs,
		onChange({rows}) {
			follower.apply(rows);
			onChange();
		},
	});
	void followTable({
		...common,
		name: 'registrations',
		table: shared('registrations', adapter.registrations),
		replica: replicas.registrations,
		readFromPeer: async () => readFromPeer('registrations'),
		pauseMs: registrationPauseMs,
		onChange(change) {
			directory.apply(change);
			onChange();
		},
	});

	return {
		plan: follower.plan,
		evacuatedZones: follower.evacuatedZones,
		endpoints: directory.endpoints,
		step() {
			if (directory.removeExpired()) {
				onChange();
			}
		},
	};
};
