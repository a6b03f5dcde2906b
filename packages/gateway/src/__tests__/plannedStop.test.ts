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

/** A gateway late in the grace period of its stop, with one open request of a caller that pipelines; the endpoint answers on demand. */
const startLateInGrace = async () => {
	const clock = createManualClock();
	const stop = createStopWindow(clock.now, () => graceMs);
	const answers: Array<() => void> = [];
	const {gateway, endpoints} = await startGateway([(socket, request) => {
		answers.push(() => {
			socket.write(formatResponse(request, `for ${request.id}`));
		});
	}], {route: {kind: 'atMostOnce', timeoutMs: 5000}, isShuttingDown: stop.hasBegun, takesRequest: stop.takesRequest});
	const socket = connect(gateway.port, '127.0.0.1');
	const closed = once(socket, 'close');
	const received = {text: ''};
	socket.on('data', chunk => {
		received.text += chunk.toString('latin1');
	});
	const expectArrived = async (...ids: readonly string[]) => vi.waitFor(() => {
		expect(endpoints[0]!.received.map(({id}) => id)).toEqual(ids);
	});
	socket.write(requestText('first', 5000));
	await expectArrived('first');
	stop.begin();
	clock.advance(3500);
	return {
		socket,
		expectArrived,
		/** Answers all requests; returns what the caller has received when the text is part of it. */
		async answerUntil(text: string) {
			for (const answer of answers) {
				answer();
			}

			await vi.waitFor(() => {
				expect(received.text).toContain(text);
			});
			gateway.server.closeIdle();
			await closed;
			return received.text;
		},
	};
};

const wait = async (milliseconds: number) => new Promise<void>(resolve => {
	setTimeout(resolve, milliseconds);
});

/** Requests that came late in the grace were passed on and cut off at its end, among them ones that may not be repeated. */
test('a request behind an open one is rejected as not run if the process may exit before its answer', async () => {
	const {socket, expectArrived, answerUntil} = await startLateInGrace();
	socket.write(requestText('late', 4000));
	await wait(100);
	const text = await answerUntil('HTTP/1.1 503');
	await expectArrived('first');
	expect(text).toMatch(/^HTTP\/1\.1 200 OK[^]*for first[^]*HTTP\/1\.1 503 [^]*retry-after: 0\.1/iu);
});

test('a request that is answered in time at any rate is taken', async () => {
	const {socket, expectArrived, answerUntil} = await startLateInGrace();
	socket.write(requestText('short', 2000));
	await expectArrived('first', 'short');
	expect(await answerUntil('for short')).toContain('for first');
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
	await wait(100);
	socket.on('data', chunk => {
		receivedBytes += chunk.length;
	});
	await ended;
	expect(receivedBytes).toBeGreaterThan(bytes);
	expect(endpoints[0]!.received.map(({id}) => id)).toEqual(['large']);
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
