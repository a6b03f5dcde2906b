/**
 * Connections from callers: which requests are open on each, and when one may be closed.
 */
import type {Socket} from 'node:net';

/** A request on a caller's connection. */
export type OpenRequest = {
	/** Aborted when the caller closes the connection. */
	readonly callerGone: AbortSignal;
	/** Whether other requests of the connection are open: then it can't be closed after this answer. */
	readonly isAlone: () => boolean;
	/** Ends the request. */
	readonly end: () => void;
};

/** Connections from callers. */
export type CallerConnections = {
	readonly add: (socket: Socket) => void;
	readonly begin: (socket: Socket) => OpenRequest;
	readonly openRequests: () => number;
	/** Closes connections without an open request. */
	readonly closeIdle: () => void;
};

/**
 * Creates an empty set of connections.
 *
 * @returns The connections.
 */
export const createCallerConnections = (): CallerConnections => {
	const open = new Map<Socket, Set<AbortController>>();
	let openRequests = 0;

	return {
		add(socket) {
			const requests = new Set<AbortController>();
			open.set(socket, requests);
			socket.once('close', () => {
				open.delete(socket);
				for (const controller of requests) {
					controller.abort();
				}
			});
		},
		begin(socket) {
			const controller = new AbortController();
			const requests = open.get(socket);
			if (requests === undefined) {
				controller.abort();
			}

			requests?.add(controller);
			openRequests += 1;
			let isEnded = false;
			return {
				callerGone: controller.signal,
				isAlone: () => (requests?.size ?? 0) <= 1,
				end() {
					if (!isEnded) {
						isEnded = true;
						openRequests -= 1;
						requests?.delete(controller);
					}
				},
			};
		},
		openRequests: () => openRequests,
		closeIdle() {
			for (const [socket, requests] of open) {
				if (requests.size === 0) {
					socket.end();
				}
			}
		},
	};
};
