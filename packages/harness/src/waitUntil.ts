/**
 * Polls a condition until it holds.
 */
import {setTimeout as delay} from 'node:timers/promises';

const pollIntervalMs = 50;

/**
 * Polls a condition until it holds or the timeout passes.
 *
 * @param condition - Condition to wait for.
 * @param timeoutMs - Time after which no further check starts.
 * @returns Whether the condition held in time.
 */
export const waitUntil = async (condition: () => Promise<boolean> | boolean, timeoutMs: number): Promise<boolean> => {
	const deadline = performance.now() + timeoutMs;
	while (performance.now() < deadline) {
		if (await condition()) { // eslint-disable-line no-await-in-loop
			return true;
		}

		await delay(pollIntervalMs); // eslint-disable-line no-await-in-loop
	}

	return false;
};
