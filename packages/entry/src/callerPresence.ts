/**
 * Tells the requests of a connection when its caller leaves. The `close` event of a response comes some turns of the event
 * loop after the caller's end or reset has been read.
 */
import type {Socket} from 'node:net';

/** Presence of the caller of one request. */
export type CallerWatch = {
	/** Aborted when the caller ends or resets the connection, or when it closes. */
	readonly left: AbortSignal;
	/** Ends the watch; must be called when the response has ended. */
	readonly end: () => void;
};

/** Connections of callers. */
export type CallerPresence = {
	/** Must be called for each new connection. */
	readonly add: (socket: Socket) => void;
	/** Watches the caller of a request on a connection that was added. */
	readonly watch: (socket: Socket) => CallerWatch;
};

/**
 * Creates a tracker without connections.
 *
 * @returns The tracker.
 */
export const createCallerPresence = (): CallerPresence => {
	const controllersBySocket = new WeakMap<Socket, Set<AbortController>>();
	return {
		add(socket) {
			const controllers = new Set<AbortController>();
			controllersBySocket.set(socket, controllers);
			const abortAll = () => {
				for (const controller of controllers) {
					controller.abort();
				}
			};

			socket.once('end', abortAll);
			socket.once('error', abortAll);
			socket.once('close', abortAll);
		},
		watch(socket) {
			const controller = new AbortController();
			const controllers = controllersBySocket.get(socket);
			controllers?.add(controller);
			return {
				left: controller.signal,
				end() {
					controllers?.delete(controller);
				},
			};
		},
	};
};
