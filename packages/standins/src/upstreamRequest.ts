/**
 * What an upstream stand-in reads from a request.
 */
import type {IncomingMessage} from 'node:http';

/**
 * Reads a header that occurs once.
 *
 * @param request - The request.
 * @param name - Header in lower case.
 * @returns Its first value.
 */
export const header = (request: IncomingMessage, name: string): string | undefined => {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
};

/**
 * Reads a number from a request's query.
 *
 * @param url - The request's URL.
 * @param name - Name in the query.
 * @param fallback - Value where the query has no such number.
 * @returns The number, never negative.
 */
export const queryNumber = (url: URL, name: string, fallback: number): number => {
	const value = Number(url.searchParams.get(name) ?? Number.NaN);
	return Number.isFinite(value) && value >= 0 ? value : fallback;
};

/**
 * Reads a request's body to its end.
 *
 * @param request - The request.
 * @returns Number of bytes; rejects where the caller closes the connection.
 */
export const readBody = async (request: IncomingMessage): Promise<number> => {
	let bytes = 0;
	for await (const chunk of request) {
		bytes += (chunk as Uint8Array).length;
	}

	return bytes;
};
