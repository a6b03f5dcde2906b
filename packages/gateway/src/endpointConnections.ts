/**
 * Kept connections to endpoints. Node's agent does not notice bytes that arrive on an idle connection and
 * belong to no request, so idle connections are watched here.
 */
import {connect, type Socket} from 'node:net';
import type {AgentOptions, ClientRequest} from 'node:http';
import type {Clock} from '@filbertwell/utils/clock';

/** An endpoint's listener. */
export type EndpointAddress = {
	readonly id: string;
	readonly host: string;
	readonly port: number;
};

/** An open connection. */
export type EndpointConnection = {
	readonly socket: Socket;
	/** Time that opening it took, in milliseconds; `undefined` for a kept one. */
	readonly connectMs: number | undefined;
};

/** Why no connection could be opened; nothing was sent. */
export type ConnectFailure = {
	readonly kind: 'unreachable';
	readonly reason: string;
};

/** Connections to endpoints. */
export type EndpointConnections = {
	/** Takes a kept connection or opens one. */
	readonly take: (address: EndpointAddress, timeoutMs: number) => Promise<EndpointConnection | ConnectFailure>;
	/** Keeps a connection whose answer was read whole, for as long as the endpoint keeps it. */
	readonly keep: (address: EndpointAddress, socket: Socket, keepAliveMs: number | undefined) => void;
	/** Closes the kept connections to an endpoint. */
	readonly drop: (endpointId: string) => void;
	/** Closes kept connections that have been idle for too long. */
	readonly closeIdle: () => void;
	readonly close: () => void;
};

type IdleConnection = {
	readonly socket: Socket;
	readonly usableUntilMs: number;
	readonly release: () => void;
};

/** Part of the endpoint's idle timeout for which a connection is used: its close may be on its way. */
const keptPart = 0.7;
/** Idle time for endpoints that state none: below the shortest that servers commonly use, 5 s. */
const defaultKeepAliveMs = 4000;
/** Time after which the operating system probes a silent connection. */
const probeAfterMs = 1000;

/** Hands one connected socket to `http.request`, which sets it free after the answer. */
export const agentOf = (socket: Socket): AgentOptions => {
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
 * Creates an empty set of connections.
 *
 * @param clock - Monotonic milliseconds.
 * @returns The connections.
 */
export const createEndpointConnections = (clock: Clock): EndpointConnections => {
	const idle = new Map<string, IdleConnection[]>();

	const remove = (endpointId: string, connection: IdleConnection) => {
		const list = idle.get(endpointId)?.filter(other => other !== connection) ?? [];
		if (list.length === 0) {
			idle.delete(endpointId);
		} else {
			idle.set(endpointId, list);
		}
	};

	const takeIdle = (endpointId: string): Socket | undefined => {
		for (;;) {
			const connection = idle.get(endpointId)?.at(-1);
			if (connection === undefined) {
				return undefined;
			}

			remove(endpointId, connection);
			connection.release();
			if (connection.usableUntilMs > clock() && !connection.socket.destroyed && connection.socket.writable) {
				return connection.socket;
			}

			connection.socket.destroy();
		}
	};

	const openNew = async ({host, port}: EndpointAddress, timeoutMs: number): Promise<EndpointConnection | ConnectFailure> => new Promise(resolve => {
		const startedAtMs = clock();
		const socket = connect({
			host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: probeAfterMs,
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
			// Errors after this are the request's or the idle watch's to report.
			socket.on('error', () => undefined);
			resolve({socket, connectMs: clock() - startedAtMs});
		});
	});

	return {
		async take(address, timeoutMs) {
			const kept = takeIdle(address.id);
			return kept === undefined ? openNew(address, timeoutMs) : {socket: kept, connectMs: undefined};
		},
		keep({id}, socket, keepAliveMs) {
			if (socket.destroyed || !socket.writable) {
				return;
			}

			const discard = () => {
				remove(id, connection);
				socket.destroy();
			};

			const connection: IdleConnection = {
				socket,
				usableUntilMs: clock() + ((keepAliveMs ?? defaultKeepAliveMs) * keptPart),
				release() {
					socket.removeListener('data', discard);
					socket.removeListener('end', discard);
					socket.removeListener('close', discard);
				},
			};
			// Bytes on an idle connection answer no request: the connection can't be trusted any more.
			socket.on('data', discard);
			socket.once('end', discard);
			socket.once('close', discard);
			idle.set(id, [...idle.get(id) ?? [], connection]);
		},
		drop(endpointId) {
			for (const {socket, release} of idle.get(endpointId) ?? []) {
				release();
				socket.destroy();
			}

			idle.delete(endpointId);
		},
		closeIdle() {
			for (const [id, list] of idle) {
				for (const connection of list) {
					if (connection.usableUntilMs <= clock()) {
						remove(id, connection);
						connection.release();
						connection.socket.destroy();
					}
				}
			}
		},
		close() {
			for (const id of idle.keys()) {
				this.drop(id);
			}
		},
	};
};
