/**
 * Arbitrary bytes from endpoints and callers end at most their own request. An exception that such bytes caused ended the
 * process.
 */
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import * as fc from 'fast-check';
import {afterEach, expect, test} from 'vitest';
import {arbitraryRequests, arbitraryResponses} from '../../../entry/src/__tests__/hostileMessages.js';
import {
	call, closeGateways, formatResponse, respondOk, startGateway,
} from './gatewayFixture.js';

afterEach(closeGateways);

const parameters = {seed: 32, numRuns: 400};
const patienceMs = 3000;
/** Deadline of requests to which the endpoint may never give a response; short, because each run waits for it. */
const hostileDeadlineMs = 150;

test('arbitrary bytes of an endpoint give its caller a response or a closed connection, and the next request its own response', async () => {
	await fc.assert(fc.asyncProperty(arbitraryResponses('X-Id: ID\r\nX-Stamp: s\r\n'), fc.boolean(), fc.constantFrom('idempotent', 'atMostOnce'), async (message, closes, kind) => {
		// Status 421 says that another endpoint has taken over the address, so no further request is sent there.
		fc.pre(!message.includes('421'));
		let isHostile = true;
		const {gateway} = await startGateway([(socket, request) => {
			if (!isHostile) {
				respondOk(socket, request);
				return;
			}

			isHostile = false;
			socket.write(message.replaceAll('ID', request.id), 'latin1');
			if (closes) {
				socket.end();
			}
		}], {route: {kind}});
		// On a busy machine, the deadline can pass before the request has reached the endpoint; it is sent again then.
		while (isHostile) { // eslint-disable-line no-unmodified-loop-condition -- the endpoint changes it
			const response = await Promise.race([call(gateway.port, {method: 'POST', body: 'x', headers: {'x-deadline-ms': String(hostileDeadlineMs)}}), delay(patienceMs, 'none', {ref: false})]); // eslint-disable-line no-await-in-loop
			expect(response).not.toBe('none');
		}

		const next = await Promise.race([call(gateway.port, {method: 'POST', body: 'y'}), delay(patienceMs, 'none', {ref: false})]);
		expect(next).toMatchObject({status: 200, body: 'fine'});
		expect(gateway.logged).not.toContain('unexpectedError');
		closeGateways();
	}), parameters);
}, 120_000);

test('arbitrary bytes of a caller end at most its own connection, and are not sent to an endpoint as another request', async () => {
	const received: string[] = [];
	const {gateway} = await startGateway([(socket, request) => {
		received.push(request.id);
		socket.write(formatResponse(request, 'fine'));
	}], {route: {timeoutMs: 150, latencyTargetMs: 100}});
	await fc.assert(fc.asyncProperty(arbitraryRequests('Host: shop.example\r\nX-Id: hostile\r\n'), async message => {
		const socket = connect(gateway.port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.resume();
		socket.end(message, 'latin1');
		await Promise.race([once(socket, 'close'), delay(patienceMs, undefined, {ref: false})]);
		socket.destroy();
		const next = await Promise.race([call(gateway.port), delay(patienceMs, 'none', {ref: false})]);
		expect(next).toMatchObject({status: 200, body: 'fine'});
		expect(gateway.logged).not.toContain('unexpectedError');
	}), parameters);
	expect(received.filter(id => id !== 'hostile' && id !== '' && !id.startsWith('id-') && !id.includes('hostile'))).toEqual([]);
}, 120_000);
