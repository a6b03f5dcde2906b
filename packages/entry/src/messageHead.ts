/**
 * Checks heads of received messages. The HTTP parser of Node.js accepts some that Node.js refuses to write.
 */
import {type IncomingMessage, STATUS_CODES} from 'node:http';

/** Field names, RFC 9110, section 5.1. */
const namePattern = /^[\w!#$%&'*+.^`|~-]+$/u;
/** Field values and reason phrases as Node.js decodes them, RFC 9110, section 5.5 and RFC 9112, section 4. */
const textPattern = /^[\t\u0020-\u007E\u0080-\u00FF]*$/u;
const lowestFinalStatus = 200;
const highestStatus = 599;
const chunkedCoding = 'chunked';

/**
 * Finds a header that can't be forwarded.
 *
 * @param rawHeaders - Alternating names and values, as in `message.rawHeaders` of Node.js.
 * @returns Why the headers can't be forwarded; `undefined` if they can.
 */
export const headerProblem = (rawHeaders: readonly string[]): string | undefined => {
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (!namePattern.test(rawHeaders[index]!)) {
			return `header name ${JSON.stringify(rawHeaders[index])} is invalid`;
		}

		if (!textPattern.test(rawHeaders[index + 1]!)) {
			return `the value of header ${rawHeaders[index]!} is invalid`;
		}
	}

	return undefined;
};

/**
 * Selects the trailers that can be forwarded.
 *
 * @param rawTrailers - Alternating names and values, as in `message.rawTrailers` of Node.js.
 * @returns Pairs of name and value, without those that Node.js refuses to write.
 */
export const forwardableTrailers = (rawTrailers: readonly string[]): Array<[name: string, value: string]> => rawTrailers
	.flatMap((name, index): Array<[string, string]> => index % 2 === 0 ? [[name, rawTrailers[index + 1]!]] : [])
	.filter(trailer => headerProblem(trailer) === undefined);

/**
 * Finds the reason why the head of a final response can't be forwarded. The reason phrase is not checked.
 *
 * @param message - A received response.
 * @returns Why it can't be forwarded; `undefined` if it can.
 */
export const responseHeadProblem = ({statusCode = 0, rawHeaders, headers}: Pick<IncomingMessage, 'statusCode' | 'rawHeaders' | 'headers'>): string | undefined => {
	if (statusCode < lowestFinalStatus || statusCode > highestStatus) {
		return `status ${statusCode} is not a final status`;
	}

	// Its body would not be decoded, and a short one could not be told from a complete one.
	const coding = headers['transfer-encoding']?.trim().toLowerCase() ?? chunkedCoding;
	return coding === chunkedCoding ? headerProblem(rawHeaders) : `transfer coding ${JSON.stringify(coding)} is not supported`;
};

/**
 * Returns the reason phrase of a response, or the usual one of its status if it contains bytes that HTTP does not allow.
 * A reason phrase carries no meaning (RFC 9112, section 4), so the rest of the response is still valid.
 *
 * @param message - A received response.
 * @returns A reason phrase that can be written.
 */
export const reasonPhraseOf = ({statusCode = 0, statusMessage = ''}: Pick<IncomingMessage, 'statusCode' | 'statusMessage'>): string => textPattern.test(statusMessage)
	? statusMessage
	: STATUS_CODES[statusCode] ?? '';
