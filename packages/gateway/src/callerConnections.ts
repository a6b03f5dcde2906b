/**
 * Tracks the open requests on each caller connection and closes connections that are idle.
 */
import type {Socket} from 'node:net';
import type {Clock} from '@filbertwell/utils/clock';

/** A request on a caller connection that has not been answered yet. */
export type OpenRequest = {
	/** Aborted when the caller ends or resets the connection, or when it closes. */
	readonly callerDisconnected: AbortSignal;
	/** Whether no other request of the connection is open. Otherwise the connection must stay open after this response. */
	readonly isOnlyRequest: () => boolean;
	/** Marks the response as the last one on its connection. Requests that arrive later are rejected. */
	readonly closeAfterResponse: () => void;
	/** Ends the request; further calls have no effect. */
	readonly end: () => void;
};

/** Open caller connections and their requests. */
export type CallerConnections = {
	readonly add: (socket: Socket) => void;
	/** Registers a request; `undefined` if the connection is closing and can't carry a response any more. */
	readonly beginRequest: (socket: Socket) => OpenRequest | undefined;
	readonly openRequestCount: () => number;
	readonly hasOpenRequest: (socket: Socket) => boolean;
	/** Whether a caller has just connected whose first request is still expected. */
	readonly isRequestExpected: () => boolean;
	/** Closes all connections without an open request, except those whose first request is still expected. */
	readonly closeIdle: () => void;
};

/** Requests of one connection. */
type ConnectionState = {
	readonly requests: Set<AbortController>;
	/** Time until which the first request is expected, in monotonic milliseconds; 0 after it has arrived. */
	expectedUntilMs: number;
};

/** Callers connect to send a request, which arrives within a round trip unless it was lost. */
const firstRequestMs = 400;

/**
 * Creates a tracker without connections.
 *
 * @param clock - Monotonic clock in milliseconds.
 * @returns The tracker; every accepted socket must be added to it.
 */
export const createCallerConnections = (clock: Clock): CallerConnections => {
	const connections = new Map<Socket, ConnectionState>();
	const closingSockets = new WeakSet<Socket>();
	let openRequestCount = 0;

	return {
		add(socket) {
			const requests = new Set<AbortController>();
			connections.set(socket, {requests, expectedUntilMs: clock() + firstRequestMs});
			const abortRequests = () => {
				for (const controller of requests) {
					controller.abort();
				}
			};

			// `close` follows some turns of the event loop after the caller's end or reset has been read.
			socket.once('end', abortRequests);
			socket.once('error', abortRequests);
			socket.once('close', () => {
				connections.delete(socket);
				abortRequests();
			});
		},
		beginRequest(socket) {
			if (closingSockets.has(socket)) {
				return undefined;
			}

			const controller = new AbortController();
			const connection = connections.get(socket);
			const requests = connection?.requests;
			if (connection === undefined) {
				controller.abort();
			} else {
				connection.expectedUntilMs = 0;
			}

			requests?.add(controller);
			openRequestCount += 1;
			let isEnded = false;
			return {
				callerDisconnected: controller.signal,
				isOnlyRequest: () => (requests?.size ?? 0) <= 1,
				closeAfterResponse() {
					closingSockets.add(socket);
				},
				end() {
					if (!isEnded) {
						isEnded = true;
						openRequestCount -= 1;
						requests?.delete(controller);
					}
				},
			};
		},
		openRequestCount: () => openRequestCount,
		hasOpenRequest: socket => (connections.get(socket)?.requests.size ?? 0) > 0,
		isRequestExpected: () => [...connections.values()].some(({expectedUntilMs}) => expectedUntilMs > clock()),
		closeIdle() {
			for (const [socket, {requests, expectedUntilMs}] of connections) {
				if (requests.size === 0 && expectedUntilMs <= clock()) {
					closingSockets.add(socket);
					socket.end();
				}
			}
		},
	};
};
