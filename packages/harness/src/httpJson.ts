/**
 * Small JSON requests to admin and control ports.
 */

/** An answer with a JSON body. */
export type JsonAnswer = {
	readonly status: number;
	/** Parsed body; `undefined` where it is not JSON. */
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
 * Sends a request and reads the answer.
 *
 * @param method - HTTP method.
 * @param url - Full address on loopback.
 * @param body - Value to send as JSON; nothing is sent where it is `undefined`.
 * @returns The answer; `undefined` where none came.
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
