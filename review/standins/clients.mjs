/**
 * Stand-ins for clients. A client asks the directory where to connect, keeps its connection for many requests and records
 * what it sends and what comes back.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {Agent, request as sendRequest} from 'node:http';
import {fetchText} from './gateways.mjs';

/** Host of all routes. */
export const routeHost = 'shop.example';

/**
 * Sends one request.
 *
 * @param record - Record of the case.
 * @param options - Address of the gateway, agent, method, path, body, deadline in milliseconds.
 * @returns The id, whether the connection had carried an earlier request, and the outcome: an answer or a closed connection.
 */
export const send = async (record, {address, agent, method, path, body, deadlineMs}) => new Promise(resolve => {
	const id = randomBytes(8).toString('hex');
	const [host, port] = address.split(':');
	const startedAtMs = performance.now();
	let isSettled = false;
	const headers = {
		Host: routeHost, 'X-Filbertwell-Request-Id': id, 'X-Filbertwell-Deadline-Ms': String(deadlineMs), Connection: 'keep-alive',
	};
	if (body !== undefined) {
		headers['Content-Length'] = body.length;
	}

	const outgoing = sendRequest({
		host, port, method, path, agent, headers,
	});
	const settle = outcome => {
		if (!isSettled) {
			isSettled = true;
			clearTimeout(timer);
			const result = {
				id, address, isKept: outgoing.reusedSocket, sentAtMs: startedAtMs, endedAtMs: performance.now(), ...outcome,
			};
			record('client', {
				request: id, address, kept: result.isKept, tookMs: Math.round(result.endedAtMs - startedAtMs), ...outcome,
			});
			resolve(result);
		}
	};

	const timer = setTimeout(() => {
		settle({kind: 'gave up'});
		outgoing.destroy();
	}, deadlineMs + 500);
	outgoing.on('error', error => {
		settle({kind: 'closed', detail: error.code ?? error.message});
	});
	let connection;
	outgoing.once('socket', socket => {
		connection = socket;
		if (!outgoing.reusedSocket) {
			// Node.js may report a reset that arrives together with data as a normal end; a write fails then.
			socket.prependOnceListener('end', () => {
				socket.write('');
			});
		}
	});
	outgoing.on('response', response => {
		const chunks = [];
		response.on('data', chunk => {
			chunks.push(chunk);
		});
		response.on('error', error => {
			settle({kind: 'closed', detail: error.code ?? error.message});
		});
		response.on('end', async () => {
			await new Promise(setImmediate);
			settle({
				kind: response.complete && connection.errored === null ? 'answered' : 'cut off', status: response.statusCode, stamp: response.headers['x-filbertwell-server-stamp'], bytes: Buffer.concat(chunks).length,
			});
		});
	});
	outgoing.end(body);
});

/**
 * Asks a node that serves the directory for addresses.
 *
 * @param lookups - Address of the node.
 * @param region - Region of the client.
 * @param zone - Availability zone of the client.
 * @returns The addresses; empty if the answer counts as a failure.
 */
export const resolveAddresses = async (lookups, region, zone) => {
	try {
		const {status, text} = await fetchText(lookups, `/resolve?name=${routeHost}&region=${region}&zone=${zone}`);
		return status === 200 ? JSON.parse(text).addresses : [];
	} catch {
		return [];
	}
};

/**
 * Starts a client that sends one request after the other on a kept connection until `stop` is called.
 *
 * @param record - Record of the case.
 * @param options - Directories nearest first, place, method, path, body, deadline, pause between requests in milliseconds.
 * @returns The client with its results.
 */
export const startClient = (record, {directories, region, zone, method, path, body, deadlineMs, pauseMs}) => {
	const results = [];
	let isStopped = false;
	let addresses = [];
	let resolvedAtMs = 0;
	let address;
	let agent;

	const look = async () => {
		if (performance.now() - resolvedAtMs < 2000 && addresses.length > 0) {
			return;
		}

		for (const directory of directories().slice(0, 3)) {
			const found = await resolveAddresses(directory, region, zone); // eslint-disable-line no-await-in-loop
			if (found.length > 0) {
				addresses = found;
				resolvedAtMs = performance.now();
				return;
			}
		}
	};

	const run = async () => {
		let count = 0;
		while (!isStopped) { // eslint-disable-line no-unmodified-loop-condition -- modified by `stop`
			await look(); // eslint-disable-line no-await-in-loop
			if (address === undefined || !addresses.includes(address)) {
				address = addresses[Math.floor(Math.random() * addresses.length)];
				agent?.destroy();
				agent = new Agent({keepAlive: true, maxSockets: 1});
			}

			if (address === undefined) {
				await new Promise(resolve => { // eslint-disable-line no-await-in-loop
					setTimeout(resolve, 200);
				});
				continue;
			}

			count += 1;
			const result = await send(record, { // eslint-disable-line no-await-in-loop
				address, agent, method, path: `${path}${count}`, body, deadlineMs,
			});
			results.push(result);
			if (result.kind !== 'answered') {
				address = undefined;
			}

			await new Promise(resolve => { // eslint-disable-line no-await-in-loop
				setTimeout(resolve, pauseMs * (0.5 + Math.random()));
			});
		}

		agent?.destroy();
	};

	const ended = run();
	return {
		results,
		async stop() {
			isStopped = true;
			await ended;
		},
	};
};
