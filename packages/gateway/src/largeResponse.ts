/**
 * Forwards a response whose body is too large for memory while it is being read from the endpoint. The endpoint is read
 * no faster than the caller reads.
 */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {pipeline} from 'node:stream/promises';
import {resetConnection} from './resetConnection.js';
import type {PartialBody} from './responseBody.js';

/** Size above which a body is cut off; a faulty endpoint could send without end. */
const maximumBodyBytes = 1024 * 1024 * 1024;

/** A body to forward and its caller. */
export type PartialBodyTransfer = {
	readonly response: ServerResponse;
	/** Connection of the caller. */
	readonly socket: Socket;
	readonly body: PartialBody;
	/** Ends the transfer when it is aborted. */
	readonly signal: AbortSignal;
};

/**
 * Writes a body whose headers have been written. If the endpoint breaks off, sends too much or the signal is aborted,
 * the caller's connection is reset, so that the caller can't take the body for a complete one.
 *
 * @param transfer - Body and caller.
 * @returns Why the transfer failed; `undefined` if the body was written completely.
 */
export const sendPartialBody = async ({response, socket, body: {firstBytes, rest}, signal}: PartialBodyTransfer): Promise<string | undefined> => {
	// `rest.socket` is not available any more when the body has ended.
	const endpointSocket = rest.socket;
	// Must happen before the pipeline destroys the response, which would end the connection without a reset.
	const reset = () => {
		rest.destroy();
		resetConnection(socket);
	};

	const readRest = async function * (): AsyncGenerator<Uint8Array> {
		let bytes = firstBytes.length;
		for await (const chunk of rest as AsyncIterable<Uint8Array>) {
			bytes += chunk.length;
			if (bytes > maximumBodyBytes) {
				throw new Error(`the body is over ${maximumBodyBytes} bytes`);
			}

			yield chunk;
		}

		if (!rest.complete || endpointSocket.errored !== null) {
			throw new Error('the answer ended early');
		}
	};

	const readAll = async function * (): AsyncGenerator<Uint8Array> {
		yield firstBytes;
		try {
			yield * readRest();
		} catch (error) {
			reset();
			throw error;
		}
	};

	signal.addEventListener('abort', reset);
	try {
		await pipeline(readAll, response, {signal});
		return undefined;
	} catch (error) {
		reset();
		return error instanceof Error ? error.message : String(error);
	} finally {
		signal.removeEventListener('abort', reset);
	}
};
