/**
 * Reads headers, query and body of a request to an upstream stand-in.
 */
import type {IncomingMessage} from 'node:http';

/**
 * Reads a header.
 *
 * @param request - The request.
 * @param name - Name of the header in lower case.
 * @returns The first value; `undefined` if the header is absent.
 */
export const header = (request: IncomingMessage, name: string): string | undefined => {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
};

/**
 * Reads a number from a request's query.
 *
 * @param url - The request's URL.
 * @param name - Name of the query parameter.
 * @param fallback - Value if the parameter is absent, not a finite number or negative.
 * @returns The number.
 */
export const queryNumber = (url: URL, name: string, fallback: number): number => {
	const value = Number(url.searchParams.get(name) ?? Number.NaN);
	return Number.isFinite(value) && value >= 0 ? value : fallback;
};

/**
 * Reads a request's body to its end and discards it.
 *
 * @param request - The request.
 * @returns Number of bytes; rejects if the caller closes the connection first.
 */
export const readBody = async (request: IncomingMessage): Promise<number> => {
	let bytes = 0;
	for await (const chunk of request) {
		bytes += (chunk as Uint8Array).length;
	}

	return bytes;
};
