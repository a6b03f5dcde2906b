/**
 * Responses that are far larger than the memory that a gateway may use for one of them.
 */
import {once} from 'node:events';
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {request as sendRequest} from 'node:http';
import {connect, type Socket} from 'node:net';
import process from 'node:process';
import {
	afterEach, describe, expect, test, vi,
} from 'vitest';
import {
	call, closeGateways, receivedCount, respondOk, type ReceivedRequest, type RespondRaw, startGateway,
} from './gatewayFixture.js';
import {readUntilEnd} from './rawCaller.js';

afterEach(closeGateways);

const mebibyte = 1024 * 1024;
const piece = Buffer.alloc(64 * 1024, 'abcdefgh');

/** Writes pieces no faster than the connection accepts them. */
const writePieces = (socket: Socket, count: number, format: (bytes: Uint8Array) => Uint8Array, onWritten: () => void) => {
	let remaining = count;
	const write = () => {
		while (remaining > 0 && !socket.destroyed) {
			remaining -= 1;
			if (!socket.write(format(piece)) && remaining > 0) {
				socket.once('drain', write);
				return;
			}
		}

		onWritten();
	};

	write();
};

const head = ({id}: ReceivedRequest) => `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Stamp: s\r\n`;
const plain = (bytes: Uint8Array) => bytes;
const chunked = (bytes: Uint8Array) => Buffer.concat([Buffer.from(`${bytes.length.toString(16)}\r\n`), bytes, Buffer.from('\r\n')]);

const respondLarge = (bytes: number): RespondRaw => (socket, request) => {
	socket.write(`${head(request)}Content-Length: ${bytes}\r\n\r\n`);
	writePieces(socket, bytes / piece.length, plain, () => undefined);
};

const hashOf = async (port: number, path = '/a'): Promise<{readonly bytes: number; readonly digest: string; readonly isComplete: boolean}> => new Promise(resolve => {
	const hash = createHash('sha256');
	let bytes = 0;
	const finish = (isComplete: boolean) => {
		resolve({bytes, digest: isComplete ? hash.digest('hex') : '', isComplete});
	};

	sendRequest({
		host: '127.0.0.1', port, path, agent: false, headers: {host: 'shop.example', 'x-id': `large-${path}`, 'x-deadline-ms': '20000'},
	}, message => {
		message.on('data', (chunk: Uint8Array) => {
			bytes += chunk.length;
			hash.update(chunk);
		});
		message.once('error', () => {
			finish(false);
		});
		message.once('end', () => {
			finish(message.complete);
		});
	}).on('error', () => {
		finish(false);
	}).end();
});

const expectedHash = (bytes: number): string => {
	const hash = createHash('sha256');
	for (let written = 0; written < bytes; written += piece.length) {
		hash.update(piece);
	}

	return hash.digest('hex');
};

describe('a large response', () => {
	test.each([
		['with a length', respondLarge(48 * mebibyte)],
		['in chunks', ((socket, request) => {
			socket.write(`${head(request)}Transfer-Encoding: chunked\r\n\r\n`);
			writePieces(socket, 48 * 16, chunked, () => {
				socket.write('0\r\n\r\n');
			});
		}) satisfies RespondRaw],
		['without a length', ((socket, request) => {
			socket.write(`${head(request)}\r\n`);
			writePieces(socket, 48 * 16, plain, () => {
				socket.end();
			});
		}) satisfies RespondRaw],
	])('%s arrives completely', async (_, respond) => {
		const {gateway} = await startGateway([respond], {route: {timeoutMs: 20_000}});
		expect(await hashOf(gateway.port)).toEqual({bytes: 48 * mebibyte, digest: expectedHash(48 * mebibyte), isComplete: true});
	});

	test('leaves its connection usable for the next request', async () => {
		const {gateway, endpoints} = await startGateway([respondLarge(4 * mebibyte)], {route: {timeoutMs: 20_000}});
		await hashOf(gateway.port, '/1');
		await hashOf(gateway.port, '/2');
		expect(endpoints[0]!.connectionCount()).toBe(1);
	});

	test.each([
		['with a length', `Content-Length: ${8 * mebibyte}\r\n\r\n`, plain],
		['in chunks', 'Transfer-Encoding: chunked\r\n\r\n', chunked],
	])('%s that breaks off is not complete for the caller', async (_, headEnd, format) => {
		const {gateway} = await startGateway([(socket, request) => {
			socket.write(`${head(request)}${headEnd}`);
			writePieces(socket, 64, format, () => {
				socket.end();
			});
		}], {route: {timeoutMs: 20_000}});
		expect(await hashOf(gateway.port)).toMatchObject({isComplete: false});
		expect(gateway.logged).toContain('responseCutOff');
	});

	test('without a length whose connection is reset ends with a reset for the caller', async () => {
		const {gateway} = await startGateway([(socket, request) => {
			socket.write(`${head(request)}\r\n`);
			writePieces(socket, 64, plain, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 100);
			});
		}], {route: {timeoutMs: 20_000}});
		const {text, ending} = await readUntilEnd(gateway.port);
		expect(text.length).toBeGreaterThan(mebibyte);
		expect(ending).toBe('reset');
	});

	test('to a caller that does not read occupies little memory, and other requests are answered', async () => {
		const {gateway, endpoints} = await startGateway([(socket, request) => {
			(request.head.startsWith('GET /large') ? respondLarge(64 * mebibyte) : respondOk)(socket, request);
		}], {route: {timeoutMs: 20_000}});
		const before = process.memoryUsage();
		const slowCallers = Array.from({length: 6}, (_, index) => {
			const socket = connect(gateway.port, '127.0.0.1');
			socket.pause();
			socket.on('error', () => undefined);
			socket.write(`GET /large HTTP/1.1\r\nHost: shop.example\r\nX-Id: slow-${index}\r\n\r\n`);
			return socket;
		});
		// Until then all slots of the endpoint are taken, and further requests are refused as not run.
		await Promise.all(slowCallers.map(async socket => once(socket, 'readable')));
		expect(receivedCount(endpoints)).toBe(6);
		for (let index = 0; index < 20; index++) {
			expect(await call(gateway.port)).toMatchObject({status: 200, body: 'fine'}); // eslint-disable-line no-await-in-loop
		}

		const after = process.memoryUsage();
		// The test's endpoint holds one piece for each connection; six whole bodies would be 384 MiB.
		expect(after.external + after.heapUsed - before.external - before.heapUsed).toBeLessThan(96 * mebibyte);
		for (const socket of slowCallers) {
			socket.destroy();
		}

		await vi.waitFor(() => {
			expect(gateway.server.openRequestCount()).toBe(0);
		});
	});

	test('with a failure status is retried like a small one', async () => {
		let failures = 1;
		const respondFailureOnce: RespondRaw = (socket, request) => {
			failures -= 1;
			if (failures < 0) {
				respondOk(socket, request);
				return;
			}

			socket.write(`HTTP/1.1 500 Broken\r\nX-Id: ${request.id}\r\nX-Stamp: s\r\nContent-Length: ${4 * mebibyte}\r\n\r\n`);
			writePieces(socket, 64, plain, () => undefined);
		};

		const {gateway} = await startGateway([respondFailureOnce, respondFailureOnce]);
		expect(await call(gateway.port)).toMatchObject({status: 200, body: 'fine'});
	});
});
