/**
 * Derives from the head of an endpoint's response whether it belongs to a request and whether the request ran.
 */
import type {IncomingMessage} from 'node:http';
import {reasonPhraseOf, responseHeadProblem} from '@filbertwell/entry/messageHead';
import type {EndpointLoad} from '@filbertwell/types/discoveredEndpoint';
import type {SendOutcome} from './endpointClient.js';
import type {GatewayHeaders} from './gatewayHeaders.js';
import type {ResponseBody} from './responseBody.js';

/** Classification of responses. */
export type ResponseClassifier = {
	/** Why a response must not be used for a request; `undefined` if it may be. */
	readonly rejectionReason: (message: IncomingMessage, requestId: string | undefined) => string | undefined;
	readonly isSuccess: (message: IncomingMessage) => boolean;
	/** The outcome of a send from its response. */
	readonly outcomeOf: (message: IncomingMessage, body: ResponseBody) => SendOutcome;
};

/** Statuses that, together with the not-run header, state that the endpoint did not run the request. */
const notRunStatuses = new Set([400, 421, 429, 503]);
const millisecondsPerSecond = 1000;

const hasBody = (status: number): boolean => status !== 204 && status !== 304;

const headerText = (message: IncomingMessage, name: string): string | undefined => {
	const value = message.headers[name];
	return Array.isArray(value) ? value[0] : value;
};

/**
 * Reads the idle timeout that an endpoint announces.
 *
 * @param message - Response of the endpoint.
 * @returns Milliseconds; `undefined` if the endpoint announces none.
 */
export const keepAliveMsOf = (message: IncomingMessage): number | undefined => {
	const seconds = /timeout=(?<seconds>\d+)/iu.exec(headerText(message, 'keep-alive') ?? '')?.groups?.seconds;
	return seconds === undefined ? undefined : Number(seconds) * millisecondsPerSecond;
};

/**
 * Creates a classifier.
 *
 * @param headers - Header names of the deployment.
 * @returns The classifier.
 */
export const createResponseClassifier = (headers: GatewayHeaders): ResponseClassifier => {
	const loadOf = (message: IncomingMessage): EndpointLoad | undefined => {
		const text = headerText(message, headers.load);
		return text === undefined ? undefined : headers.decodeLoad(text);
	};

	const isSuccess = (message: IncomingMessage): boolean => message.statusCode! >= 200 && message.statusCode! < 300;

	return {
		rejectionReason(message, requestId) {
			const echoedId = headerText(message, headers.requestId);
			// An endpoint may repeat an earlier response, also a refusal. Only the id shows which request it answers.
			if (requestId !== undefined && echoedId !== requestId) {
				return echoedId === undefined ? 'it does not name the request' : `it answers request ${echoedId}`;
			}

			if (isSuccess(message) && headerText(message, headers.stamp) === undefined) {
				return 'it has no stamp';
			}

			return headerText(message, 'content-encoding') === undefined ? responseHeadProblem(message) : 'its body is encoded';
		},
		isSuccess,
		outcomeOf(message, body) {
			const status = message.statusCode!;
			const load = loadOf(message);
			const isNotRun = status === 421 || (headerText(message, headers.notRun) !== undefined && notRunStatuses.has(status));
			if (isNotRun) {
				return {
					kind: 'not-run', cause: status === 421 ? 'misdirected' : 'refused', reason: `status ${status}`, load,
				};
			}

			return {
				kind: 'answered',
				response: {
					status,
					statusText: reasonPhraseOf(message),
					rawHeaders: message.rawHeaders,
					body,
					isCloseDelimited: hasBody(status) && message.headers['content-length'] === undefined && message.headers['transfer-encoding'] === undefined,
					load,
				},
			};
		},
	};
};
