/**
 * Sends JSON requests to admin and control ports.
 */

/** Status and parsed body of an HTTP response. */
export type JsonAnswer = {
	readonly status: number;
	/** Parsed body; `undefined` if it is not JSON. */
	readonly body: unknown;
};

const requestTimeoutMs = 5000;

const parseBody = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

/**
 * Sends a request and reads the response. Gives up after 5 s.
 *
 * @param method - HTTP method.
 * @param url - Absolute URL.
 * @param body - Value to send as JSON; `undefined` sends no body.
 * @returns The response; `undefined` if the request fails or times out.
 */
export const requestJson = async (method: string, url: string, body?: unknown): Promise<JsonAnswer | undefined> => {
	try {
		const response = await fetch(url, {
			method,
			signal: AbortSignal.timeout(requestTimeoutMs),
			...(body === undefined ? {} : {body: JSON.stringify(body), headers: {'content-type': 'application/json'}}),
		});
		return {status: response.status, body: parseBody(await response.text())};
	} catch {
		return undefined;
	}
};
