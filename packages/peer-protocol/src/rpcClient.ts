/**
 * Calls JSON-RPC methods of peers over HTTP.
 */
import {Buffer} from 'node:buffer';
import {Agent, request, type IncomingMessage} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {SocketAddress} from '@filbertwell/types/place';
import {createJSONRPCRequest, isJSONRPCResponse} from 'json-rpc-2.0';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {readEncodedBody, type EncodedBody} from './httpBody.js';
import {
	methodSchemas, type MethodName, type MethodParameters, type MethodResult,
} from './methods.js';
import {describeThrown, type PeerError} from './peerError.js';
import {rpcPath} from './rpcServer.js';
import type {TrafficCounter} from './traffic.js';

/** Calls a method of a peer, which answers within `timeoutMs`, by default 2 s; resolves with an error instead of rejecting. */
export type PeerCall = <Name extends MethodName>(
	to: SocketAddress,
	method: Name,
	parameters: MethodParameters<Name>,
	timeoutMs?: number,
) => Promise<Result<MethodResult<Name>, PeerError>>;

/** JSON-RPC client for calls between peers. */
export type RpcClient = {
	readonly call: PeerCall;
	readonly close: () => void;
};

const defaultTimeoutMs = 2000;
const maximumAnswerBytes = 33_554_432;
const maximumSocketsPerPeer = 4;
const idleSocketTimeoutMs = 10_000;

const parseAnswer = <Name extends MethodName>(method: Name, body: string): Result<MethodResult<Name>, PeerError> => {
	let message: unknown;
	try {
		message = JSON.parse(body);
	} catch (error) {
		return err({kind: 'malformed', detail: `${method}: ${describeThrown(error)}`});
	}

	if (!isJSONRPCResponse(message)) {
		return err({kind: 'malformed', detail: `${method}: body is not a JSON-RPC response`});
	}

	if (message.error !== undefined) {
		return err({kind: 'refused', detail: `${method}: ${String(message.error.message)}`});
	}

	const parsed = methodSchemas[method].result.safeParse(message.result);
	return parsed.success
		? ok(parsed.data as MethodResult<Name>)
		: err({kind: 'malformed', detail: `${method}: ${z.prettifyError(parsed.error)}`});
};

/**
 * Creates a client with persistent connections.
 *
 * @param traffic - Counts the bytes of requests and responses.
 * @returns The client.
 */
export const createRpcClient = (traffic: TrafficCounter): RpcClient => {
	const agent = new Agent({keepAlive: true, maxSockets: maximumSocketsPerPeer, timeout: idleSocketTimeoutMs});
	let lastId = 0;

	const post = async (to: SocketAddress, body: Uint8Array, signal: AbortSignal): Promise<IncomingMessage> => new Promise((resolve, reject) => {
		const outgoing = request({
			agent,
			host: to.host,
			port: to.port,
			method: 'POST',
			path: rpcPath,
			signal,
			headers: {'content-type': 'application/json', 'content-length': body.length, 'accept-encoding': 'gzip'},
		});
		outgoing.on('response', resolve);
		outgoing.on('error', reject);
		outgoing.end(body);
	});

	const exchange = async (to: SocketAddress, body: Uint8Array, signal: AbortSignal): Promise<Result<EncodedBody, PeerError>> => {
		try {
			const response = await post(to, body, signal);
			return await readEncodedBody(response, maximumAnswerBytes);
		} catch (error) {
			return err({kind: 'unreachable', detail: describeThrown(error)});
		}
	};

	const abortAfterTimeout = async (timeoutMs: number, timeout: AbortController, finished: AbortSignal) => {
		try {
			await delay(timeoutMs, undefined, {signal: finished});
			timeout.abort();
		} catch {
			// The exchange finished before the timeout.
		}
	};

	return {
		async call(to, method, parameters, timeoutMs = defaultTimeoutMs) {
			lastId += 1;
			const body = Buffer.from(JSON.stringify(createJSONRPCRequest(lastId, method, parameters)));
			const timeout = new AbortController();
			const finished = new AbortController();
			void abortAfterTimeout(timeoutMs, timeout, finished.signal);
			traffic.countRpcOut(body.length);
			const answer = await exchange(to, body, timeout.signal);
			finished.abort();
			traffic.countRpcIn(answer.isOk() ? answer.value.transferredBytes : 0);
			return answer.andThen(({text}) => parseAnswer(method, text));
		},
		close() {
			agent.destroy();
		},
	};
};
