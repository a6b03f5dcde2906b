/**
 * HTTP client for the admin addresses of entries.
 */
import {once} from 'node:events';
import {request, type IncomingMessage} from 'node:http';
import {text as readText} from 'node:stream/consumers';
import type {Offer} from '@filbertwell/configuration/offer';
import type {EntryState, Explanation} from '@filbertwell/types/entryState';
import type {SocketAddress} from '@filbertwell/types/place';
import {
	err, ok, type Result,
} from 'neverthrow';
import type * as z from 'zod';
import {entryStateSchema, explanationSchema} from './adminSchemas.js';

/** A failed request to an entry's admin address. */
export type AdminError = {
	/** Admin address as `host:port`. */
	readonly address: string;
	/** Error code, HTTP status or the difference from the expected response. */
	readonly detail: string;
};

const requestTimeoutMs = 3000;

/** Formats an address as `host:port`, with brackets around an IPv6 host. */
export const formatAddress = ({host, port}: SocketAddress): string => host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;

type HttpResponse = {
	readonly status: number;
	readonly body: string;
};

const sendRequest = async ({host, port}: SocketAddress, method: 'GET' | 'POST', path: string, body = ''): Promise<HttpResponse> => {
	const outgoing = request({
		host, port, method, path, agent: false, signal: AbortSignal.timeout(requestTimeoutMs),
	});
	outgoing.end(body);
	const [response] = await once(outgoing, 'response') as [IncomingMessage];
	return {status: response.statusCode ?? 0, body: await readText(response)};
};

const getJson = async <Value>(address: SocketAddress, path: string, schema: z.ZodType<Value>): Promise<Result<Value, AdminError>> => {
	const fail = (detail: string) => err({address: formatAddress(address), detail});
	try {
		const {status, body} = await sendRequest(address, 'GET', path);
		if (status !== 200) {
			return fail(`status ${status}: ${body.slice(0, 200).trim()}`);
		}

		const parsed = schema.safeParse(JSON.parse(body));
		return parsed.success ? ok(parsed.data) : fail(`unexpected response to ${path}: ${parsed.error.issues[0]?.path.join('.') ?? ''} ${parsed.error.issues[0]?.message ?? ''}`);
	} catch (error) {
		return fail((error as NodeJS.ErrnoException).code ?? String(error));
	}
};

/**
 * Fetches the state of an entry.
 *
 * @param address - Admin address of the entry.
 * @returns The state, or the error of the request. Requests time out after 3 s.
 */
export const fetchState = async (address: SocketAddress): Promise<Result<EntryState, AdminError>> => getJson(address, '/state', entryStateSchema);

/** The caller's request whose routing is explained. */
export type ExplanationQuery = {
	readonly service: string;
	/** IP address of the caller. */
	readonly address: string;
	/** Path below the path prefix of the service. */
	readonly path: string;
	readonly method: string;
};

/**
 * Fetches an explanation of how an entry would route a request.
 *
 * @param address - Admin address of the entry.
 * @param query - The caller's request.
 * @returns The explanation, or the error of the request. Requests time out after 3 s.
 */
export const fetchExplanation = async (address: SocketAddress, query: ExplanationQuery): Promise<Result<Explanation, AdminError>> =>
	getJson(address, `/explain?${new URLSearchParams(query).toString()}`, explanationSchema);

/**
 * Sends an accepted change to an entry, so that the entry can apply it before its next poll.
 *
 * @param address - Admin address of the entry.
 * @param offer - The accepted head and its new parts.
 * @returns Nothing, or the error if the entry did not respond with status 202. Requests time out after 3 s.
 */
export const sendOffer = async (address: SocketAddress, offer: Offer): Promise<Result<void, AdminError>> => {
	const fail = (detail: string) => err({address: formatAddress(address), detail});
	try {
		const {status, body} = await sendRequest(address, 'POST', '/configuration/offer', JSON.stringify(offer));
		return status === 202 ? ok() : fail(`status ${status}: ${body.slice(0, 200).trim()}`);
	} catch (error) {
		return fail((error as NodeJS.ErrnoException).code ?? String(error));
	}
};
