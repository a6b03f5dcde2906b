/**
 * Pool of keep-alive connections to endpoints. The agent of Node.js doesn't detect bytes that arrive on an idle
 * connection without belonging to a request; this pool does and closes such a connection.
 */
import {connect, type Socket} from 'node:net';
import type {AgentOptions, ClientRequest} from 'node:http';
import type {Clock} from '@filbertwell/utils/clock';
import {detectReset} from './resetConnection.js';

/** Id of an endpoint and the address it listens on. */
export type EndpointAddress = {
	readonly id: string;
	readonly host: string;
	readonly port: number;
};

/** An open connection. */
export type EndpointConnection = {
	readonly socket: Socket;
	/** Connect time in milliseconds; `undefined` for a reused connection. */
	readonly connectMs: number | undefined;
};

/** The connection could not be opened, so nothing was sent. */
export type ConnectFailure = {
	readonly kind: 'unreachable';
	readonly reason: string;
};

/** Pool of idle connections, keyed by endpoint id. */
export type EndpointConnectionPool = {
	/** Takes an idle connection from the pool or opens a new one. A failure is a result, not a rejection. */
	readonly acquire: (address: EndpointAddress, timeoutMs: number) => Promise<EndpointConnection | ConnectFailure>;
	/** Opens a new connection, on which no earlier request can be answered late. A failure is a result, not a rejection. */
	readonly open: (address: EndpointAddress, timeoutMs: number) => Promise<EndpointConnection | ConnectFailure>;
	/**
	 * Returns a connection to the pool whose response has been read completely, or that was not used.
	 * `keepAliveMs` is the idle timeout that the endpoint announced, if it did.
	 */
	readonly release: (address: EndpointAddress, socket: Socket, keepAliveMs: number | undefined) => void;
	/** Closes the idle connections to an endpoint. */
	readonly closeEndpoint: (endpointId: string) => void;
	/** Closes connections whose idle time has run out. */
	readonly closeIdle: () => void;
	/** Closes all idle connections. */
	readonly close: () => void;
};

type IdleConnection = {
	readonly socket: Socket;
	readonly usableUntilMs: number;
	readonly removeListeners: () => void;
};

/** Fraction of the endpoint's idle timeout after which a connection is not reused: the endpoint may be closing it. */
const keepAliveFraction = 0.7;
/** Idle timeout assumed for endpoints that announce none; the shortest common server default is 5 s. */
const defaultKeepAliveMs = 4000;
/** Idle time after which the operating system sends the first TCP keep-alive probe. */
const tcpKeepAliveDelayMs = 1000;

/**
 * Creates an agent that makes `http.request` use one connected socket.
 *
 * @param socket - The connected socket.
 * @returns The agent; the socket emits `free` after the response.
 */
export const createSingleSocketAgent = (socket: Socket): AgentOptions => {
	const agent = {
		keepAlive: true,
		maxSockets: 1,
		defaultPort: 80,
		protocol: 'http:',
		options: {},
		addRequest(request: ClientRequest) {
			request.onSocket(socket);
		},
	};
	return agent;
};

/**
 * Creates an empty pool.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @returns The pool; `closeIdle` must be called periodically.
 */
export const createEndpointConnectionPool = (clock: Clock): EndpointConnectionPool => {
	const idleByEndpoint = new Map<string, IdleConnection[]>();

	const removeIdle = (endpointId: string, connection: IdleConnection) => {
		const list = idleByEndpoint.get(endpointId)?.filter(other => other !== connection) ?? [];
		if (list.length === 0) {
			idleByEndpoint.delete(endpointId);
		} else {
			idleByEndpoint.set(endpointId, list);
		}
	};

	const acquireIdle = (endpointId: string): Socket | undefined => {
		for (;;) {
			const connection = idleByEndpoint.get(endpointId)?.at(-1);
			if (connection === undefined) {
				return undefined;
			}

			removeIdle(endpointId, connection);
			connection.removeListeners();
			if (connection.usableUntilMs > clock() && !connection.socket.destroyed && connection.socket.writable) {
				return connection.socket;
			}

			connection.socket.destroy();
		}
	};

	const openConnection = async ({host, port}: EndpointAddress, timeoutMs: number): Promise<EndpointConnection | ConnectFailure> => new Promise(resolve => {
		const startedAtMs = clock();
		const socket = connect({
			host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: tcpKeepAliveDelayMs, allowHalfOpen: true,
		});
		const timer = setTimeout(() => {
			socket.destroy();
			resolve({kind: 'unreachable', reason: `no connection within ${Math.round(timeoutMs)} ms`});
		}, timeoutMs);
		const onError = (error: NodeJS.ErrnoException) => {
			clearTimeout(timer);
			resolve({kind: 'unreachable', reason: error.code ?? error.message});
		};

		socket.once('error', onError);
		socket.once('connect', () => {
			clearTimeout(timer);
			socket.removeListener('error', onError);
			detectReset(socket);
			// Later errors are reported by the request or by the listeners for idle connections.
			socket.on('error', () => undefined);
			resolve({socket, connectMs: clock() - startedAtMs});
		});
	});

	return {
		async acquire(address, timeoutMs) {
			const idleSocket = acquireIdle(address.id);
			return idleSocket === undefined ? openConnection(address, timeoutMs) : {socket: idleSocket, connectMs: undefined};
		},
		open: openConnection,
		release({id}, socket, keepAliveMs) {
			if (socket.destroyed || !socket.writable) {
				return;
			}

			const discard = () => {
				removeIdle(id, connection);
				socket.destroy();
			};

			const connection: IdleConnection = {
				socket,
				usableUntilMs: clock() + ((keepAliveMs ?? defaultKeepAliveMs) * keepAliveFraction),
				removeListeners() {
					socket.removeListener('data', discard);
					socket.removeListener('end', discard);
					socket.removeListener('close', discard);
				},
			};
			// Bytes on an idle connection belong to no request, so a later response could be misread. Discard the connection.
			socket.on('data', discard);
			socket.once('end', discard);
			socket.once('close', discard);
			idleByEndpoint.set(id, [...idleByEndpoint.get(id) ?? [], connection]);
		},
		closeEndpoint(endpointId) {
			for (const {socket, removeListeners} of idleByEndpoint.get(endpointId) ?? []) {
				removeListeners();
				socket.destroy();
			}

			idleByEndpoint.delete(endpointId);
		},
		closeIdle() {
			for (const [id, list] of idleByEndpoint) {
				for (const connection of list) {
					if (connection.usableUntilMs <= clock()) {
						removeIdle(id, connection);
						connection.removeListeners();
						connection.socket.destroy();
					}
				}
			}
		},
		close() {
			for (const id of idleByEndpoint.keys()) {
				this.closeEndpoint(id);
			}
		},
	};
};
