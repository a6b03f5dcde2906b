/**
 * Ends the work on a request when its time is up or when its caller disconnects.
 */

/** Time limit and caller of a request. */
export type RequestLifetimeOptions = {
	readonly timeoutMs: number;
	/** Aborted when the caller disconnects. */
	readonly callerDisconnected: AbortSignal;
	/** Called when the time is up. */
	readonly onTimeout: () => void;
	/** Called when the caller disconnects; returns whether the work ends now or may go on until the time is up. */
	readonly onDisconnected: () => 'end' | 'continue';
};

/** Lifetime of the work on one request. */
export type RequestLifetime = {
	/** Aborted when the work must end. */
	readonly signal: AbortSignal;
	/** Stops watching time and caller; further calls have no effect. */
	readonly end: () => void;
	/** Ends the lifetime and the work. */
	readonly abort: () => void;
};

/**
 * Starts watching a request.
 *
 * @param options - Time limit and caller.
 * @returns The lifetime; `end` must be called when the work has ended.
 */
export const startRequestLifetime = ({timeoutMs, callerDisconnected, onTimeout, onDisconnected}: RequestLifetimeOptions): RequestLifetime => {
	const controller = new AbortController();
	const timer = setTimeout(() => {
		onTimeout();
		controller.abort();
	}, Math.max(0, timeoutMs));
	const end = () => {
		clearTimeout(timer);
		callerDisconnected.removeEventListener('abort', onAbort);
	};

	const onAbort = () => {
		if (onDisconnected() === 'end') {
			end();
			controller.abort();
		}
	};

	callerDisconnected.addEventListener('abort', onAbort);
	return {
		signal: controller.signal,
		end,
		abort() {
			end();
			controller.abort();
		},
	};
};
