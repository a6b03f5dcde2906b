/**
 * Start of the traffic state after all instances lost power together: no peer has a plan yet, and callers are waiting.
 */
import type {VersionedRows, WatchedTable} from '@filbertwell/discovery/watchedTable';
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {MethodName} from '@filbertwell/peer-protocol/methods';
import type {Member} from '@filbertwell/types/member';
import type {TrafficPlan} from '@filbertwell/types/trafficPlan';
import {monotonicClock as clock} from '@filbertwell/utils/clock';
import {
	err, errAsync, ok, okAsync, type ResultAsync,
} from 'neverthrow';
import {NEVER} from 'rxjs';
import {
	afterEach, expect, test, vi,
} from 'vitest';
import type {GatewayAdapter} from '../gatewayAdapter.js';
import {followTraffic, type TrafficStateOptions} from '../trafficState.js';

const unavailable: PlatformError = {kind: 'unavailable', operation: 'rows.feed', detail: 'status 503'};
const plan: TrafficPlan = {
	version: 3, routes: [], unknownRouteKinds: [], services: new Map(), limits: {
		maximumHeaderBytes: 1000, maximumBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
	},
};
const self: Member = {
	id: 'gateway-0',
	role: 'entry',
	incarnation: 1,
	region: 'south',
	availabilityZone: 'south-a',
	site: 'south-a',
	callerAddress: {host: '127.0.0.1', port: 1},
	peerAddress: {host: '127.0.0.1', port: 2},
	state: 'starting',
	health: 'alive',
	configurationVersion: 0,
	load: {inFlight: 0, queued: 0, requestsPerSecond: 0},
};

let stopping = new AbortController();

afterEach(() => {
	stopping.abort();
	stopping = new AbortController();
});

/** Starts with a store that answers after 20 ms. The list of instances is not available. */
const start = (isFirstStart: boolean) => {
	let reads = 0;
	const table: WatchedTable = {
		readAll(): ResultAsync<VersionedRows, PlatformError> {
			reads += 1;
			return okAsync<VersionedRows, PlatformError>({version: 5, rows: [{key: 'plan', value: 'plan'}]}).map(async rows => {
				await new Promise(resolve => {
					setTimeout(resolve, 20);
				});
				return rows;
			});
		},
		readChanges: () => errAsync(unavailable),
	};
	const adapter: Partial<GatewayAdapter> = {
		operators: table, registrations: table, decodeOperatorRow: () => ok({kind: 'plan', plan}), decodeEndpoint: () => err('not an endpoint'),
	};
	const options: Partial<TrafficStateOptions> = {
		adapter: adapter as GatewayAdapter,
		membership: {self: () => self, members: () => [self], listed: NEVER} as unknown as TrafficStateOptions['membership'],
		channel: {handle: () => undefined} as unknown as TrafficStateOptions['channel'],
		clock,
		random: () => 0.5,
		signal: stopping.signal,
		bounds: () => ({planMs: 2500, drainMs: 2500, contactMs: 3000}),
		regionOfZone: () => new Map(),
		isFirstStart,
		onChange: () => undefined,
	};
	return {state: followTraffic(options as TrafficStateOptions), reads: () => reads};
};

test('a plan is in force at once after a restart, without the list of instances', async () => {
	const startedAtMs = clock();
	const {state} = start(false);
	await vi.waitFor(() => {
		expect(state.plan()?.version).toBe(3);
	}, {timeout: 1500, interval: 5});
	expect(clock() - startedAtMs).toBeLessThan(1000);
});

test('at the first start of a deployment, the list of instances shows first who reads the store', async () => {
	const {state, reads} = start(true);
	await new Promise(resolve => {
		setTimeout(resolve, 500);
	});
	expect(reads()).toBe(0);
	expect(state.plan()).toBeUndefined();
});

/** An instance kept using an old plan, because calls to peers that did not answer took two seconds each. */
test('a plan is taken from a peer in time although the store and two of the three peers do not answer', async () => {
	const defaultTimeoutMs = 2000;
	const contactMs = 3000;
	const peers = [1, 2, 3].map((index): Member => ({
		...self, id: `gateway-${index}`, peerAddress: {host: '127.0.0.1', port: 10 + index}, configurationVersion: 3,
	}));
	const call = async (to: {readonly port: number}, method: MethodName, parameters: unknown, timeoutMs = defaultTimeoutMs) => {
		const isAnswered = to.port === 13;
		await new Promise(resolve => {
			setTimeout(resolve, isAnswered ? 20 : timeoutMs);
		});
		return isAnswered ? ok({reading: {version: 5, rows: [{key: 'plan', value: 'plan'}]}, ageMs: 10}) : err({kind: 'unreachable', detail: 'no answer'});
	};

	const neverAnswered = () => errAsync(unavailable);
	const table: WatchedTable = {readAll: neverAnswered, readChanges: neverAnswered};
	const adapter: Partial<GatewayAdapter> = {
		operators: table, registrations: table, decodeOperatorRow: () => ok({kind: 'plan', plan}), decodeEndpoint: () => err('not an endpoint'),
	};
	const options: Partial<TrafficStateOptions> = {
		adapter: adapter as GatewayAdapter,
		membership: {self: () => self, members: () => [self, ...peers], listed: NEVER} as unknown as TrafficStateOptions['membership'],
		channel: {handle: () => undefined, call} as unknown as TrafficStateOptions['channel'],
		clock,
		random: () => 0,
		signal: stopping.signal,
		bounds: () => ({planMs: 2000, drainMs: 2000, contactMs}),
		regionOfZone: () => new Map(),
		isFirstStart: false,
		onChange: () => undefined,
	};
	const state = followTraffic(options as TrafficStateOptions);
	await new Promise(resolve => {
		setTimeout(resolve, contactMs);
	});
	expect(state.plan()?.version).toBe(3);
});
