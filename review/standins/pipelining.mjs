/**
 * Stand-in for clients that send further safe requests before the first one has been answered. As RFC 9112 (9.3.2) and
 * RFC 9110 (15.2) ask, it takes the final responses in the order of its requests, and skips interim responses (1xx).
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {connect} from 'node:net';
import {routeHost} from './clients.mjs';

const headEnd = '\r\n\r\n';

/** Takes the first complete response from the bytes; `undefined` if there is none yet. All responses here have a length. */
const takeResponse = bytes => {
	const end = bytes.indexOf(headEnd);
	if (end === -1) {
		return undefined;
	}

	const [statusLine, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n');
	const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const status = Number(statusLine.split(' ')[1]);
	const isInterim = status >= 100 && status < 200;
	const bodyStart = end + headEnd.length;
	const length = isInterim ? 0 : Number(headers.get('content-length') ?? 0);
	return bytes.length < bodyStart + length
		? undefined
		: {
			status, isInterim, headers, body: bytes.subarray(bodyStart, bodyStart + length).toString('latin1'), rest: bytes.subarray(bodyStart + length),
		};
};

/**
 * Sends requests in groups on one kept connection until `isStopped` returns true or the connection ends.
 *
 * @param record - Record of the case.
 * @param options - Address of the gateway, path, number of requests sent at once, deadline in milliseconds, and when to stop.
 * @returns The answers, each with the id of the request that it answers by its order.
 */
export const pipeline = async (record, {address, path, groupSize, deadlineMs, isStopped}) => new Promise(resolve => {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	const waiting = [];
	const answers = [];
	let bytes = Buffer.alloc(0);
	let timer;

	const sendGroup = () => {
		for (let index = 0; index < groupSize; index++) {
			const id = randomBytes(8).toString('hex');
			waiting.push(id);
			socket.write(`GET ${path} HTTP/1.1\r\nHost: ${routeHost}\r\nX-Filbertwell-Request-Id: ${id}\r\nX-Filbertwell-Deadline-Ms: ${deadlineMs}\r\n\r\n`);
		}

		clearTimeout(timer);
		timer = setTimeout(() => {
			record('client gave up', {requests: waiting});
			socket.destroy();
		}, deadlineMs);
	};

	const readResponses = () => {
		for (let response = takeResponse(bytes); response !== undefined; response = takeResponse(bytes)) {
			bytes = response.rest;
			if (response.isInterim) {
				record('interim response', {request: waiting[0], status: response.status, answers: response.headers.get('x-filbertwell-request-id')});
				continue;
			}

			const answer = {
				request: waiting.shift(), status: response.status, answers: response.headers.get('x-filbertwell-request-id'), stamp: response.headers.get('x-filbertwell-server-stamp'), body: response.body.slice(0, 40),
			};
			answers.push(answer);
			record('client', {address, ...answer});
		}

		if (waiting.length === 0) {
			if (isStopped()) {
				socket.destroy();
			} else {
				sendGroup();
			}
		}
	};

	socket.on('connect', sendGroup);
	socket.on('data', chunk => {
		bytes = Buffer.concat([bytes, chunk]);
		readResponses();
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		clearTimeout(timer);
		resolve(answers);
	});
});
