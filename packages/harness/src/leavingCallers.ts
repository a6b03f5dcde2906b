/**
 * Callers that leave before their response, and an endpoint that records which requests reach it nevertheless.
 */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo, connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import type {SocketAddress} from '@filbertwell/types/place';
import type {RunningProcess} from './startProcess.js';

/** An endpoint that answers every request. */
export type RecordingEndpoint = {
	readonly address: SocketAddress;
	/** Time of arrival of each request on the clock of `performance`, by its path. */
	readonly arrivals: ReadonlyMap<string, number>;
	readonly close: () => void;
};

/** A request whose caller has left. */
export type LeftRequest = {
	readonly path: string;
	/** Time on the clock of `performance` at which the connection was closed, in milliseconds. */
	readonly closedAtMs: number;
};

/** From this time after the close of a connection on, its requests must not reach an endpoint. */
const allowedAfterCloseMs = 500;
/** Callers leave this long after they have sent their request. */
const leaveAfterMs = 300;
const workMs = 20;
const throttledRunMs = 10;
const throttledPauseMs = 90;

/**
 * Starts an endpoint.
 *
 * @param responseHeaders - Headers of the response to a request with the given headers.
 * @returns The endpoint, once it is listening.
 */
export const startRecordingEndpoint = async (responseHeaders: (requestHeaders: NodeJS.Dict<string | string[]>) => Record<string, string>): Promise<RecordingEndpoint> => {
	const arrivals = new Map<string, number>();
	const server = createServer((request, response) => {
		arrivals.set(request.url ?? '', performance.now());
		request.resume();
		setTimeout(() => {
			response.writeHead(200, {...responseHeaders(request.headers), 'content-length': 2}).end('ok');
		}, workMs);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		address: {host: '127.0.0.1', port: (server.address() as AddressInfo).port},
		arrivals,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
};

/**
 * Opens a connection; errors close it.
 *
 * @param port - Port on loopback.
 * @returns The connection, which may not be established yet.
 */
export const openCallerConnection = (port: number): Socket => {
	const socket = connect({port, host: '127.0.0.1', noDelay: true});
	socket.on('error', () => undefined);
	return socket;
};

const requestText = (path: string): string => {
	const id = path.replaceAll('/', '.');
	return `POST ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Filbertwell-Request-Id: ${id}\r\nIdempotency-Key: ${id}\r\nContent-Length: 1\r\n\r\nx`;
};

/**
 * Sends a request.
 *
 * @param socket - The connection.
 * @param path - Path of the request; its id is derived from it.
 * @returns The first bytes of the response; empty if the connection closes without any.
 */
export const callOnConnection = async (socket: Socket, path: string): Promise<string> => new Promise(resolve => {
	socket.once('data', bytes => {
		resolve(bytes.toString('latin1'));
	});
	socket.once('close', () => {
		resolve('');
	});
	socket.write(requestText(path));
});

/**
 * Sends a request and closes the connection a little later.
 *
 * @param socket - The connection.
 * @param path - Path of the request; its id is derived from it.
 * @returns The request, once the connection is closed.
 */
export const sendAndLeave = async (socket: Socket, path: string): Promise<LeftRequest> => {
	socket.write(requestText(path));
	await delay(leaveAfterMs);
	socket.destroy();
	return {path, closedAtMs: performance.now()};
};

/**
 * Selects the requests that reached the endpoint although their callers had left long before.
 *
 * @param left - Requests of callers that have left.
 * @param endpoint - The endpoint.
 * @returns Their paths.
 */
export const lateArrivals = (left: readonly LeftRequest[], {arrivals}: RecordingEndpoint): string[] => left
	.filter(({path, closedAtMs}) => (arrivals.get(path) ?? 0) > closedAtMs + allowedAfterCloseMs)
	.map(({path}) => path);

/**
 * Lets a process run for a tenth of the time only.
 *
 * @param running - The process.
 * @returns A function that ends this; the process runs on afterwards.
 */
export const throttleProcess = (running: RunningProcess): (() => void) => {
	const ending = new AbortController();
	const cycle = async () => {
		while (!ending.signal.aborted) {
			running.signal('SIGSTOP');
			await delay(throttledPauseMs); // eslint-disable-line no-await-in-loop
			running.signal('SIGCONT');
			await delay(throttledRunMs); // eslint-disable-line no-await-in-loop
		}
	};

	void cycle();
	return () => {
		ending.abort();
	};
};
