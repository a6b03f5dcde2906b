/* eslint-disable camelcase -- names of the pages */
/**
 * Stand-ins for endpoints. They register themselves in the store, run a limited number of requests at a time and record
 * each run.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';

const heartbeatMs = 1500;

/** Names of headers and of the wire, as PROTOCOL.md spells them. */
const names = {
	requestId: 'x-filbertwell-request-id', expected: 'x-filbertwell-expect-instance', deadline: 'x-filbertwell-deadline-ms',
};

/**
 * Starts an endpoint and registers it as ready.
 *
 * @param options - Store, record, identity, place, slots, work in milliseconds, and an optional override of the response:
 * `respond(request, response, {body, headers})` returns true if it has answered.
 * @returns The running endpoint.
 */
export const startEndpoint = async ({store, record, id, service, zone, host, slots, workMs, coldS = 0, respond}) => {
	const born = Date.now();
	const startedAtMs = performance.now();
	const sockets = new Set();
	let sequence = 0;
	let running = 0;
	const waiting = [];

	const load = () => `${running},${waiting.length},${slots}`;

	const headersOf = request => ({
		'X-Filbertwell-Request-Id': request.headers[names.requestId] ?? '', 'X-Filbertwell-Server-Load': load(),
	});

	const reject = (request, response, status) => {
		response.writeHead(status, {
			...headersOf(request), 'X-Filbertwell-Instance-Id': id, 'X-Filbertwell-Not-Run': '1', 'Content-Length': 0,
		});
		response.end();
	};

	const startNext = () => {
		while (running < slots && waiting.length > 0) { // eslint-disable-line no-unmodified-loop-condition -- modified by the started request
			waiting.shift()();
		}
	};

	const run = (request, response) => {
		if (request.socket.destroyed) {
			return;
		}

		running += 1;
		record('run', {
			request: request.headers[names.requestId], endpoint: id, method: request.method, path: request.url,
		});
		setTimeout(() => {
			running -= 1;
			startNext();
			if (request.socket.destroyed) {
				return;
			}

			const body = Buffer.from(`${id} ${request.headers[names.requestId]} ${'x'.repeat(400)}`);
			const headers = {...headersOf(request), 'X-Filbertwell-Server-Stamp': `stamp.${id}.${request.headers[names.requestId]}`, 'Content-Length': body.length};
			if (respond?.(request, response, {body, headers}) !== true) {
				response.writeHead(200, headers);
				response.end(body);
			}
		}, workMs * (0.8 + (0.4 * Math.random())));
	};

	const server = createServer({keepAliveTimeout: 10_000}, (request, response) => {
		response.on('error', () => undefined);
		const expected = request.headers[names.expected];
		if (request.url === '/health') {
			response.writeHead(200, {'X-Filbertwell-Instance-Id': id, 'X-Filbertwell-Server-Load': load(), 'Content-Length': 0});
			response.end();
			return;
		}

		record('arrival', {request: request.headers[names.requestId], endpoint: id});
		request.resume();
		request.once('end', () => {
			if (expected !== undefined && expected !== id) {
				reject(request, response, 421);
			} else if (request.headers[names.requestId] === undefined) {
				reject(request, response, 400);
			} else if (waiting.length >= slots * 3) {
				reject(request, response, 503);
			} else {
				waiting.push(() => {
					run(request, response);
				});
				startNext();
			}
		});
	});
	server.on('connection', socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	server.listen(0, host);
	await once(server, 'listening');
	const address = `${host}:${server.address().port}`;

	const registration = state => {
		sequence += 1;
		return {
			service, address, zone, version: 'v1', slots, state, cold_remaining_s: Math.max(0, coldS - ((performance.now() - startedAtMs) / 1000)), sequence, born,
		};
	};

	const register = () => {
		store.put('servers', id, registration('ready'));
	};

	register();
	let heartbeats = setInterval(register, heartbeatMs);

	return {
		id,
		service,
		zone,
		/** Creates the next heartbeat without writing it. */
		nextHeartbeat: () => registration('ready'),
		/** Stops the heartbeats and removes the registration; the endpoint continues to serve. */
		leave() {
			clearInterval(heartbeats);
			heartbeats = undefined;
			store.remove('servers', id);
		},
		stopHeartbeats() {
			clearInterval(heartbeats);
		},
		close() {
			clearInterval(heartbeats);
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};
