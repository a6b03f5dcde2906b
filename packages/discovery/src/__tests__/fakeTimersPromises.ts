/**
 * Waits and abort signals for tests with fake timers.
 */
import {setMaxListeners} from 'node:events';

/** Creates a controller whose signal any number of followers listen to. */
export const createSharedAbortController = (): AbortController => {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	return controller;
};

/**
 * Waits for some time with the global function, which fake timers replace. Stands in for `setTimeout` of `node:timers/promises`.
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
