import type {Dispatcher} from '@filbertwell/dispatch/dispatcher';
import {silentLogger} from '@filbertwell/logger/logger';
import type {RouteKind} from '@filbertwell/types/intent';
import {monotonicClock as clock} from '@filbertwell/utils/clock';
import {afterNextPoll} from '@filbertwell/utils/pollBarrier';
import {describe, expect, test} from 'vitest';
import type {EndpointClient, SendOptions, SendOutcome} from '../endpointClient.js';
import {createForwardRequest} from '../forwardRequest.js';

const doNothing = () => undefined;

const endpoint = {
	id: 'endpoint-0', startedAtUnixMs: 1, sequence: 1, service: 'stock', host: '127.0.0.1', port: 1, availabilityZone: 'south-a', slots: 4, state: 'ready' as const, coldForMs: 0,
};

const dispatcher: Dispatcher = {
	configure: doNothing,
	recordArrival: doNothing,
	acquire: () => ({
		endpoint, expectedMs: 10, expectedWaitMs: 0, reportLoad: doNothing, end: doNothing,
	}),
	discard: doNothing,
	recordConnectTime: doNothing,
	updateRegionShares: doNothing,
};

/** Waits until the send is aborted. */
const aborted = async ({signal}: SendOptions): Promise<void> => new Promise(resolve => {
	signal.addEventListener('abort', () => {
		resolve();
	});
});

const forwardWith = async (send: EndpointClient['send'], kind: RouteKind) => createForwardRequest({
	clock,
	random: () => 0.5,
	dispatcher,
	client: {send},
	retryBudgetOf: () => ({recordRequest: doNothing, tryTake: () => true}),
	afterNextPoll,
	log: silentLogger,
})({
	route: {
		name: 'stock',
		host: 'shop.example',
		pathPrefix: '/',
		services: [{service: 'stock', weight: 1}],
		kind,
		timeoutMs: 60,
		latencyTargetMs: 40,
		maximumAttempts: 2,
		priority: 1,
		isSticky: false,
		allowedRegions: [],
	},
	service: 'stock',
	affinityKey: undefined,
	request: {
		method: 'POST', path: '/', headers: [], body: new Uint8Array(), requestId: 'r',
	},
	arrivedAtMs: clock(),
	callerTimeoutMs: undefined,
	callerDisconnected: new AbortController().signal,
});

describe.each(['idempotent', 'atMostOnce'] as const)('%s request that reaches its timeout', kind => {
	test('while a connection is being opened is rejected as not run', async () => {
		const result = await forwardWith(async (options): Promise<SendOutcome> => {
			await aborted(options);
			return {kind: 'cancelled', isSent: false};
		}, kind);
		expect(result).toMatchObject({kind: 'own', response: {status: 503}});
		expect(result.kind === 'own' && result.response.retryAfterSeconds).toBeGreaterThan(0);
	});

	test('after it was written may have run', async () => {
		const result = await forwardWith(async (options): Promise<SendOutcome> => {
			options.onWrite();
			await aborted(options);
			return {kind: 'cancelled', isSent: true};
		}, kind);
		expect(result).toMatchObject({kind: 'own', response: {status: 504}});
	});
});

test('a request that failed at one endpoint may have run, although its next connection is not open at the timeout', async () => {
	let sends = 0;
	const result = await forwardWith(async (options): Promise<SendOutcome> => {
		sends += 1;
		if (sends === 1) {
			options.onWrite();
			return {kind: 'failed', reason: 'reset'};
		}

		await aborted(options);
		return {kind: 'cancelled', isSent: false};
	}, 'idempotent');
	expect(result).toMatchObject({kind: 'own', response: {status: 504}});
});
