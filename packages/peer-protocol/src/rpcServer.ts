/**
 * Answers JSON-RPC requests of peers over HTTP. Requests of peers that have given up are not handled: their answers can be
 * large, and nobody reads them.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {promisify} from 'node:util';
import {gzip} from 'node:zlib';
import {JSONRPCErrorCode, JSONRPCErrorException, JSONRPCServer} from 'json-rpc-2.0';
import {isDisconnected} from '@filbertwell/utils/disconnected';
import {afterNextPoll} from '@filbertwell/utils/pollBarrier';
import * as z from 'zod';
import {readBody} from './httpBody.js';
import {
	methodSchemas, type MethodHandler, type MethodName,
} from './methods.js';
import {describeThrown} from './peerError.js';
import type {TrafficCounter} from './traffic.js';

/** Path of the JSON-RPC endpoint. */
export const rpcPath = '/rpc';

const maximumRequestBytes = 65_536;
const requestTimeoutMs = 5000;
const maximumConnections = 256;
/** Size from which a response is compressed; a smaller one fits into one or two packets. */
const compressedFromBytes = 2048;
/** Rows and records compress well at the fastest level. */
const compressionLevel = 1;
const compress = promisify(gzip);

/**
 * Sets the handler of a method and replaces an earlier one.
 *
 * @param server - The dispatcher.
 * @param name - Name of the method.
 * @param handler - Handler; it is called with validated parameters only.
 */
export const addHandler = <Name extends MethodName>(server: JSONRPCServer, name: Name, handler: MethodHandler<Name>) => {
	server.addMethod(name, async (parameters: unknown) => {
		const parsed = methodSchemas[name].params.safeParse(parameters);
		if (!parsed.success) {
			throw new JSONRPCErrorException(`${name}: ${z.prettifyError(parsed.error)}`, JSONRPCErrorCode.InvalidParams);
		}

		return handler(parsed.data as Parameters<typeof handler>[0]);
	});
};

/**
 * Creates a dispatcher of JSON-RPC requests without handlers.
 *
 * @returns The dispatcher.
 */
export const createDispatcher = (): JSONRPCServer => new JSONRPCServer({errorListener: () => undefined});

/** Response body with its status. */
type RpcAnswer = {
	readonly status: number;
	readonly content: Uint8Array;
	readonly encoding?: 'gzip';
};

const send = (response: ServerResponse, {status, content, encoding}: RpcAnswer, traffic: TrafficCounter) => {
	response.writeHead(status, {'content-type': 'application/json', 'content-length': content.length, ...(encoding !== undefined && {'content-encoding': encoding})});
	response.end(content);
	traffic.countRpcOut(content.length);
};

/** Compresses a long body if the peer accepts that. */
const encode = async (request: IncomingMessage, body: string): Promise<RpcAnswer> => {
	const content = Buffer.from(body);
	const acceptsGzip = request.headers['accept-encoding']?.includes('gzip') === true;
	return acceptsGzip && content.length >= compressedFromBytes
		? {status: 200, content: await compress(content, {level: compressionLevel}), encoding: 'gzip'}
		: {status: 200, content};
};

/**
 * Creates an HTTP server for JSON-RPC requests.
 *
 * @param dispatcher - Dispatcher of the requests.
 * @param traffic - Counts the bytes of requests and responses.
 * @returns The server, which does not listen yet.
 */
export const createRpcServer = (dispatcher: JSONRPCServer, traffic: TrafficCounter): Server => {
	const answer = async (request: IncomingMessage, response: ServerResponse) => {
		if (request.method !== 'POST' || request.url !== rpcPath) {
			send(response, {status: 404, content: Buffer.from(`{"error":"use POST ${rpcPath}"}`)}, traffic);
			return;
		}

		const body = await readBody(request, maximumRequestBytes);
		if (body.isErr()) {
			response.shouldKeepAlive = false;
			send(response, {status: 413, content: Buffer.from(JSON.stringify({error: body.error.detail}))}, traffic);
			return;
		}

		traffic.countRpcIn(Buffer.byteLength(body.value));
		await afterNextPoll();
		if (isDisconnected(request.socket)) {
			return;
		}

		const rpcResponse = await dispatcher.receiveJSON(body.value);
		send(response, await encode(request, JSON.stringify(rpcResponse)), traffic);
	};

	const server = createServer(async (request, response) => {
		try {
			await answer(request, response);
		} catch (error) {
			response.destroy(error instanceof Error ? error : new Error(describeThrown(error)));
		}
	});
	server.requestTimeout = requestTimeoutMs;
	server.headersTimeout = requestTimeoutMs;
	server.maxConnections = maximumConnections;
	return server;
};
