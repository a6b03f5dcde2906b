/**
 * Tracks the open requests on each caller connection and closes connections that are idle.
 */
import type {Socket} from 'node:net';

/** A request on a caller connection that has not been answered yet. */
export type OpenRequest = {
	/** Aborted when the connection closes. */
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
	/** Closes all connections without an open request. */
	readonly closeIdle: () => void;
};

/**
 * Creates a tracker without connections.
 *
 * @returns The tracker; every accepted socket must be added to it.
 */
export const createCallerConnections = (): CallerConnections => {
	const requestsBySocket = new Map<Socket, Set<AbortController>>();
	const closingSockets = new WeakSet<Socket>();
	let openRequestCount = 0;

	return {
		add(socket) {
			const requests = new Set<AbortController>();
			requestsBySocket.set(socket, requests);
			socket.once('close', () => {
				requestsBySocket.delete(socket);
				for (const controller of requests) {
					controller.abort();
				}
			});
		},
		beginRequest(socket) {
			if (closingSockets.has(socket)) {
				return undefined;
			}

			const controller = new AbortController();
			const requests = requestsBySocket.get(socket);
			if (requests === undefined) {
				controller.abort();
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
		hasOpenRequest: socket => (requestsBySocket.get(socket)?.size ?? 0) > 0,
		closeIdle() {
			for (const [socket, requests] of requestsBySocket) {
				if (requests.size === 0) {
					closingSockets.add(socket);
					socket.end();
				}
			}
		},
	};
};
