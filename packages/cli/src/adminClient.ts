/**
 * Asks entries at their admin addresses.
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
import type {z} from 'zod';
import {entryStateSchema, explanationSchema} from './adminAnswers.js';

/** Why an entry gave no usable answer. */
export type AdminError = {
	readonly address: string;
	readonly detail: string;
};

const timeoutMs = 3000;

/** Formats an address as `host:port`. */
export const formatAddress = ({host, port}: SocketAddress): string => host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;

type HttpAnswer = {
	readonly status: number;
	readonly body: string;
};

const send = async ({host, port}: SocketAddress, method: 'GET' | 'POST', path: string, body = ''): Promise<HttpAnswer> => {
	const outgoing = request({
		host, port, method, path, agent: false, signal: AbortSignal.timeout(timeoutMs),
	});
	outgoing.end(body);
	const [response] = await once(outgoing, 'response') as [IncomingMessage];
	return {status: response.statusCode ?? 0, body: await readText(response)};
};

const getJson = async <Value>(address: SocketAddress, path: string, schema: z.ZodType<Value>): Promise<Result<Value, AdminError>> => {
	const fail = (detail: string) => err({address: formatAddress(address), detail});
	try {
		const {status, body} = await send(address, 'GET', path);
		if (status !== 200) {
			return fail(`status ${status}: ${body.slice(0, 200).trim()}`);
		}

		const parsed = schema.safeParse(JSON.parse(body));
		return parsed.success ? ok(parsed.data) : fail(`unexpected form of ${path}: ${parsed.error.issues[0]?.path.join('.') ?? ''} ${parsed.error.issues[0]?.message ?? ''}`);
	} catch (error) {
		return fail((error as NodeJS.ErrnoException).code ?? String(error));
	}
};

/**
 * Asks an entry for its state.
 *
 * @param address - Its admin address.
 * @returns The state, or why there is none.
 */
export const fetchState = async (address: SocketAddress): Promise<Result<EntryState, AdminError>> => getJson(address, '/state', entryStateSchema);

/** A request to explain. */
export type ExplanationQuery = {
	readonly service: string;
	readonly address: string;
	readonly path: string;
	readonly method: string;
};

/**
 * Asks an entry where a request would go.
 *
 * @param address - Its admin address.
 * @param query - The request.
 * @returns The explanation, or why there is none.
 */
export const fetchExplanation = async (address: SocketAddress, query: ExplanationQuery): Promise<Result<Explanation, AdminError>> =>
	getJson(address, `/explain?${new URLSearchParams(query).toString()}`, explanationSchema);

/**
 * Offers an accepted change to an entry, which then need not wait for its next poll.
 *
 * @param address - Its admin address.
 * @param offer - The accepted head and its new parts.
 * @returns Nothing, or why the entry did not take the offer in.
 */
export const sendOffer = async (address: SocketAddress, offer: Offer): Promise<Result<void, AdminError>> => {
	const fail = (detail: string) => err({address: formatAddress(address), detail});
	try {
		const {status, body} = await send(address, 'POST', '/configuration/offer', JSON.stringify(offer));
		return status === 202 ? ok() : fail(`status ${status}: ${body.slice(0, 200).trim()}`);
	} catch (error) {
		return fail((error as NodeJS.ErrnoException).code ?? String(error));
	}
};
