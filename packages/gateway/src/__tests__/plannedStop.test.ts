/**
 * Requests that arrive late in the grace period of a planned stop, on connections that are in use.
 */
import {once} from 'node:events';
import {connect} from 'node:net';
import {createManualClock} from '@filbertwell/utils/clock';
import {
	afterEach, expect, test, vi,
} from 'vitest';
import {createStopWindow} from '../stopWindow.js';
import {
	closeGateways, formatResponse, startGateway,
} from './gatewayFixture.js';

afterEach(closeGateways);

const graceMs = 6000;
const requestText = (id: string, timeoutMs: number) => `POST /${id} HTTP/1.1\r\nHost: shop.example\r\nX-Id: ${id}\r\nX-Deadline-Ms: ${timeoutMs}\r\nContent-Length: 1\r\n\r\nx`;

/** A gateway whose endpoint answers on demand, and a caller that pipelines. */
const start = async () => {
	const clock = createManualClock();
	const stop = createStopWindow(clock.now, () => graceMs);
	const answers: Array<() => void> = [];
	const {gateway, endpoints} = await startGateway([(socket, request) => {
		answers.push(() => {
			socket.write(formatResponse(request, `for ${request.id}`));
		});
	}], {route: {kind: 'atMostOnce', timeoutMs: 5000}, isShuttingDown: stop.hasBegun, takesRequest: stop.takesRequest});
	const socket = connect(gateway.port, '127.0.0.1');
	const received = {text: ''};
	socket.on('data', chunk => {
		received.text += chunk.toString('latin1');
	});
	const arrivedIds = () => endpoints[0]!.received.map(({id}) => id);
	return {
		clock, stop, answers, gateway, socket, received, arrivedIds,
	};
};

/** Requests that came late in the grace were passed on and cut off at its end, among them ones that may not be repeated. */
test('a request behind an open one is rejected as not run if the process may exit before its answer', async () => {
	const {clock, stop, answers, gateway, socket, received, arrivedIds} = await start();
	const ended = once(socket, 'end');
	socket.write(requestText('first', 5000));
	await vi.waitFor(() => {
		expect(arrivedIds()).toEqual(['first']);
	});
	stop.begin();
	clock.advance(3500);
	socket.write(requestText('late', 4000));
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	answers[0]!();
	await vi.waitFor(() => {
		expect(received.text).toContain('HTTP/1.1 503');
	});
	gateway.server.closeIdle();
	await ended;
	expect(arrivedIds()).toEqual(['first']);
	expect(received.text).toMatch(/^HTTP\/1\.1 200 OK[^]*for first[^]*HTTP\/1\.1 503 [^]*retry-after: 0\.1/iu);
});

/** A pipelined request cut off the response before it, of which a part had not been written yet. */
test('a request behind the last response of a connection does not cut off this response', async () => {
	const bytes = 4_000_000;
	const {gateway, endpoints} = await startGateway([(socket, request) => {
		socket.write(formatResponse(request, 'x'.repeat(bytes)));
	}], {isShuttingDown: () => true});
	const socket = connect(gateway.port, '127.0.0.1');
	let receivedBytes = 0;
	const ended = once(socket, 'close');
	socket.write(requestText('large', 5000));
	await once(socket, 'readable');
	socket.write(requestText('behind', 5000));
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	socket.on('data', chunk => {
		receivedBytes += chunk.length;
	});
	await ended;
	expect(receivedBytes).toBeGreaterThan(bytes);
	expect(endpoints[0]!.received.map(({id}) => id)).toEqual(['large']);
});

test('a request that is answered in time at any rate is taken', async () => {
	const {clock, stop, answers, socket, received, arrivedIds} = await start();
	const ended = once(socket, 'end');
	socket.write(requestText('first', 5000));
	await vi.waitFor(() => {
		expect(arrivedIds()).toEqual(['first']);
	});
	stop.begin();
	clock.advance(3500);
	socket.write(requestText('short', 2000));
	await vi.waitFor(() => {
		expect(arrivedIds()).toEqual(['first', 'short']);
	});
	for (const answer of answers) {
		answer();
	}

	await ended;
	expect(received.text).toContain('for short');
});

test.each([
	[0, 5000, true],
	[2400, 5000, true],
	[2600, 3000, true],
	[2600, 3200, false],
	[5000, 700, true],
	[5000, 800, false],
	[5800, 1, false],
])('%i ms after the stop request, a request that may last %i ms is taken: %s', (elapsedMs, timeoutMs, isTaken) => {
	const clock = createManualClock();
	const stop = createStopWindow(clock.now, () => graceMs);
	expect(stop.takesRequest(60_000)).toBe(true);
	stop.begin();
	clock.advance(elapsedMs);
	expect(stop.takesRequest(timeoutMs)).toBe(isTaken);
});
