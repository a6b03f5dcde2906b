/**
 * Reads bodies that are not needed, so that their connections can be kept.
 */
import type {IncomingMessage} from 'node:http';

const maximumDiscardedBytes = 65_536;
const discardTimeoutMs = 1000;

/**
 * Reads a body and drops it. If it is large or slow, its connection is closed.
 *
 * @param message - Message whose body has not been read.
 */
export const discardBody = (message: IncomingMessage): void => {
	let bytes = 0;
	const timer = setTimeout(() => message.destroy(), discardTimeoutMs);
	message.on('error', () => undefined);
	message.once('close', () => {
		clearTimeout(timer);
	});
	message.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > maximumDiscardedBytes) {
			message.destroy();
		}
	});
};
