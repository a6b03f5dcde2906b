/**
 * Waiting for a condition.
 */
import {setTimeout as delay} from 'node:timers/promises';

const checkIntervalMs = 50;

/**
 * Checks a condition until it holds or the time is over.
 *
 * @param condition - What to wait for.
 * @param timeoutMs - Longest wait.
 * @returns Whether it held in time.
 */
export const waitUntil = async (condition: () => Promise<boolean> | boolean, timeoutMs: number): Promise<boolean> => {
	const deadline = performance.now() + timeoutMs;
	while (performance.now() < deadline) {
		if (await condition()) { // eslint-disable-line no-await-in-loop
			return true;
		}

		await delay(checkIntervalMs); // eslint-disable-line no-await-in-loop
	}

	return false;
};
