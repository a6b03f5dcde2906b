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
	/** Says that this answer is the connection's last: requests that arrive from now on are not read. */
	readonly closeAfterAnswer: () => void;
	/** Ends the request. */
	readonly end: () => void;
};

/** Connections from callers. */
export type CallerConnections = {
	readonly add: (socket: Socket) => void;
	/** Begins a request; `undefined` where the connection is already being closed, so that it could not be answered. */
	readonly begin: (socket: Socket) => OpenRequest | undefined;
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
	const closing = new WeakSet<Socket>();
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
			if (closing.has(socket)) {
				return undefined;
			}

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
				closeAfterAnswer() {
					closing.add(socket);
				},
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
					closing.add(socket);
					socket.end();
				}
			}
		},
	};
};
