/**
 * Stand-in for `setTimeout` of `node:timers/promises` that uses the global function, which fake timers replace.
 */

/**
 * Waits for some time.
 *
 * @param milliseconds - Time to wait.
 * @param value - Result.
 * @param options - Signal that ends the wait.
 * @returns The value; rejects when the signal is aborted.
 */
export const setTimeoutPromise = async <Value>(milliseconds: number, value: Value, {signal}: {readonly signal: AbortSignal}): Promise<Value> => new Promise((resolve, reject) => {
	const abort = () => {
		clearTimeout(timer);
		reject(new Error('aborted'));
	};

	const timer = setTimeout(() => {
		signal.removeEventListener('abort', abort);
		resolve(value);
	}, milliseconds);
	signal.addEventListener('abort', abort);
	if (signal.aborted) {
		abort();
	}
});
