/**
 * Sends one request on an open connection to an endpoint and reads the response.
 */
import {type Agent, type IncomingMessage, request as sendRequest} from 'node:http';
import type {Socket} from 'node:net';
import type {SendOptions, SendOutcome} from './endpointClient.js';
import {createSingleSocketAgent} from './endpointConnectionPool.js';
import type {GatewayHeaders} from './gatewayHeaders.js';
import type {ReadResponseBody} from './responseBody.js';
import {keepAliveMsOf, type ResponseClassifier} from './responseClassifier.js';

/** Dependencies of an exchange. */
export type ExchangeDependencies = {
	readonly headers: GatewayHeaders;
	readonly classifier: ResponseClassifier;
	readonly readBody: ReadResponseBody;
	/** Called when the connection can be reused, with the idle timeout that the endpoint announced. */
	readonly onReusable: (socket: Socket, keepAliveMs: number | undefined) => void;
};

const maximumHeaderBytes = 65_536;
/** Interim responses (1xx) accepted before the final one; a faulty endpoint could send them without end. */
const maximumInterimResponses = 16;

/**
 * Sends a request and reads the response until it is complete, or until it is known to be too large for memory.
 *
 * @param socket - Open connection on which no other request is in progress.
 * @param options - Endpoint, request and time limits.
 * @param dependencies - Header names, classification of responses and reuse of the connection.
 * @returns The outcome; never rejects. The connection is closed unless it is passed to `onReusable`.
 */
export const exchangeOnSocket = async (socket: Socket, {endpoint, request, remainingMs, signal}: SendOptions, dependencies: ExchangeDependencies): Promise<SendOutcome> => new Promise(resolve => {
	const {headers, classifier, readBody, onReusable} = dependencies;
	let isSettled = false;
	let isFailed = false;
	let interimResponses = 0;
	let keepAliveMs: number | undefined;
	let rest: IncomingMessage | undefined;

	const settle = (outcome: SendOutcome) => {
		if (!isSettled) {
			isSettled = true;
			resolve(outcome);
		}
	};

	const abandon = (outcome: SendOutcome) => {
		isFailed = true;
		signal.removeEventListener('abort', onAbort);
		socket.destroy();
		settle(outcome);
	};

	const fail = (reason: string) => {
		if (!isSettled) {
			abandon({kind: 'failed', reason});
		}
	};

	/** Fails the exchange. The rest of a partial body would otherwise end normally if its connection is reset. */
	const breakOff = (error: NodeJS.ErrnoException) => {
		rest?.destroy(error);
		fail(error.code ?? error.message);
	};

	const onAbort = () => {
		abandon({kind: 'cancelled', isSent: true});
	};

	const handleResponse = (message: IncomingMessage) => {
		const rejection = classifier.rejectionReason(message, request.requestId);
		if (rejection !== undefined) {
			message.on('error', () => undefined);
			fail(`the answer can't be used: ${rejection}`);
			return;
		}

		keepAliveMs = keepAliveMsOf(message);
		readBody(message, body => {
			if (body.kind === 'partial' && !classifier.isSuccess(message)) {
				fail('the answer is a failure with an unusually large body');
			} else if (socket.errored === null) {
				rest = body.kind === 'partial' ? body.rest : undefined;
				settle(classifier.outcomeOf(message, body));
			} else {
				fail('the connection was reset');
			}
		}, fail);
	};

	const readResponse = (message: IncomingMessage) => {
		try {
			handleResponse(message);
		} catch (error) {
			message.on('error', () => undefined);
			fail(`the answer can't be read: ${error instanceof Error ? error.message : String(error)}`);
		}
	};

	// Emitted once the response has been read to its end and the request has been written completely.
	socket.once('free', () => {
		signal.removeEventListener('abort', onAbort);
		if (isSettled && !isFailed && request.requestId !== undefined) {
			onReusable(socket, keepAliveMs);
		} else {
			socket.destroy();
		}
	});
	signal.addEventListener('abort', onAbort);
	const start = () => {
		const outgoing = sendRequest({
			host: endpoint.host,
			port: endpoint.port,
			method: request.method,
			path: request.path,
			headers: [
				...request.headers,
				headers.deadline,
				String(Math.max(1, Math.floor(remainingMs()))),
				headers.expectedEndpoint,
				endpoint.id,
			] as unknown as Record<string, string>,
			agent: createSingleSocketAgent(socket) as unknown as Agent,
			maxHeaderSize: maximumHeaderBytes,
			setHost: false,
		});
		outgoing.on('information', () => {
			interimResponses += 1;
			if (interimResponses > maximumInterimResponses) {
				fail(`over ${maximumInterimResponses} interim responses`);
			}
		});
		outgoing.on('response', readResponse);
		outgoing.on('error', breakOff);
		outgoing.once('close', () => {
			// The `end` event of a complete response may still be pending.
			setImmediate(() => {
				fail('the connection closed without an answer');
			});
		});
		outgoing.end(request.body.length > 0 ? request.body : undefined);
	};

	try {
		start();
	} catch (error) {
		// Node.js throws if a header or the path can't be encoded; nothing has been written then.
		fail(`the request can't be encoded: ${error instanceof Error ? error.message : String(error)}`);
	}
});
