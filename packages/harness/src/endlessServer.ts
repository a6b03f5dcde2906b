/**
 * HTTP servers that send bytes without end, for tests of the memory of clients.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {SocketAddress} from '@filbertwell/types/place';

/** A message of which one part does not end. */
export type EndlessMessage = {
	readonly name: string;
	/** Bytes before the endless part, for a request with this head. */
	readonly start: (requestHead: string) => string;
	/** Repeated without end. */
	readonly piece: string;
};

/** How the bytes are cut into segments. */
export type EndlessSegments = 'large' | 'oneByte';

/** A running server. */
export type EndlessServer = {
	readonly address: SocketAddress;
	/** Number of requests that were received. */
	readonly requestCount: () => number;
	readonly close: () => void;
};

const segmentBytes = 65_536;
/** Segments of one byte that are written in one turn of the event loop. */
const oneByteWritesPerTurn = 64;

/** Resolves when the socket accepts bytes again or has closed. */
const waitForDrain = async (socket: Socket): Promise<void> => new Promise(resolve => {
	const finish = () => {
		socket.off('drain', finish);
		socket.off('close', finish);
		resolve();
	};

	socket.on('drain', finish);
	socket.on('close', finish);
});

const writeEndlessly = async (socket: Socket, {start, piece}: EndlessMessage, segments: EndlessSegments, requestHead: string): Promise<void> => {
	const segment = Buffer.from(segments === 'large' ? piece.repeat(Math.ceil(segmentBytes / piece.length)) : piece, 'latin1');
	let position = 0;
	socket.write(start(requestHead), 'latin1');
	while (!socket.destroyed) {
		if (segments === 'large') {
			if (!socket.write(segment)) {
				await waitForDrain(socket); // eslint-disable-line no-await-in-loop
			}

			continue;
		}

		for (let index = 0; index < oneByteWritesPerTurn && !socket.writableNeedDrain; index += 1) {
			socket.write(segment.subarray(position, position + 1));
			position = (position + 1) % segment.length;
		}

		await nextTurn(); // eslint-disable-line no-await-in-loop
	}
};

/**
 * Starts a server that answers each request with a message without end.
 *
 * @param chooseMessage - Returns the message for a request with this head.
 * @param segments - How the bytes are cut into segments.
 * @returns The server once it is listening.
 */
export const startEndlessServer = async (chooseMessage: (requestHead: string) => EndlessMessage, segments: EndlessSegments): Promise<EndlessServer> => {
	const sockets = new Set<Socket>();
	let requestCount = 0;
	const server = createServer({noDelay: true}, socket => {
		let text = '';
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		const onData = (chunk: Uint8Array) => {
			text += Buffer.from(chunk).toString('latin1');
			const end = text.indexOf('\r\n\r\n');
			if (end !== -1) {
				socket.off('data', onData);
				socket.resume();
				requestCount += 1;
				void writeEndlessly(socket, chooseMessage(text.slice(0, end)), segments, text.slice(0, end));
			}
		};

		socket.on('data', onData);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return {
		address: {host: '127.0.0.1', port},
		requestCount: () => requestCount,
		close() {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
};

/**
 * Creates a message for each part of a response that a server can extend without end.
 *
 * @param headersFor - Returns the header lines that a complete response to a request has, each with its line end.
 * @returns The messages.
 */
export const createEndlessResponses = (headersFor: (requestHead: string) => string): readonly EndlessMessage[] => {
	const head = (requestHead: string, status = '200 OK') => `HTTP/1.1 ${status}\r\n${headersFor(requestHead)}`;
	const message = (name: string, start: EndlessMessage['start'], piece: string): EndlessMessage => ({name, start, piece});
	return [
		message('no response', () => '', 'x'),
		message('empty lines', () => '', '\r\n'),
		message('the reason phrase', () => 'HTTP/1.1 200 ', 'x'),
		message('the name of a header', head, 'x'),
		message('the value of a header', request => `${head(request)}X-More: `, 'x'),
		message('short headers', head, 'a:\r\n'),
		message('interim responses', () => '', 'HTTP/1.1 103 Early Hints\r\n\r\n'),
		message('headers of an interim response', () => 'HTTP/1.1 103 Early Hints\r\n', 'a: b\r\n'),
		message('a chunk size', request => `${head(request)}Transfer-Encoding: chunked\r\n\r\n`, '0'),
		message('a chunk extension', request => `${head(request)}Transfer-Encoding: chunked\r\n\r\n5;`, 'x'),
		message('chunks of one byte', request => `${head(request)}Transfer-Encoding: chunked\r\n\r\n`, '1\r\nx\r\n'),
		message('chunks of one byte of a failure', request => `${head(request, '500 Broken')}Transfer-Encoding: chunked\r\n\r\n`, '1\r\nx\r\n'),
		message('one chunk', request => `${head(request)}Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n`, 'x'),
		message('trailers', request => `${head(request)}Transfer-Encoding: chunked\r\n\r\n0\r\n`, 'a: b\r\n'),
		message('the value of a trailer', request => `${head(request)}Transfer-Encoding: chunked\r\n\r\n0\r\nX-More: `, 'x'),
		message('a body with a length', request => `${head(request)}Content-Length: 9007199254740991\r\n\r\n`, 'x'),
		message('a body without a length', request => `${head(request)}\r\n`, 'x'),
		message('the body of a failure', request => `${head(request, '500 Broken')}\r\n`, 'x'),
		message('bytes behind a response', request => `${head(request)}Content-Length: 4\r\n\r\nfine`, 'x'),
		message('responses behind a response', request => `${head(request)}Content-Length: 4\r\n\r\nfine`, 'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx'),
	];
};
