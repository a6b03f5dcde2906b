/**
 * Arbitrary HTTP/1.1 messages that are valid, slightly invalid or cut, for property tests of servers and clients.
 */
import * as fc from 'fast-check';

const byte = fc.integer({min: 0, max: 255}).map(code => String.fromCodePoint(code));
const anyBytes = fc.array(byte, {maxLength: 6}).map(bytes => bytes.join(''));
const lineEnd = fc.oneof({weight: 20, arbitrary: fc.constant('\r\n')}, fc.constantFrom('\n', '\r', '\r\r\n', ''));
const name = fc.oneof(
	{weight: 3, arbitrary: fc.constantFrom('X-A', 'Trailer', 'Connection', 'Keep-Alive', 'Upgrade', 'Expect', 'Content-Encoding', 'TE', 'Set-Cookie', 'Date', 'Host')},
	fc.constantFrom('', ' ', 'a b', '__proto__', 'constructor', 'Content-Length', 'Transfer-Encoding'),
	anyBytes,
);
const value = fc.oneof(
	{weight: 3, arbitrary: fc.constantFrom('1', '', 'close', 'keep-alive', 'upgrade', 'chunked', 'gzip', 'timeout=0', 'timeout=99999999999999999999', '100-continue', 'X-A', '-1', '0x5', '99999999999999999999')},
	anyBytes,
);
const header = fc.tuple(name, fc.constantFrom(': ', ':', ' : ', ''), value, lineEnd).map(parts => parts.join(''));

const chunk = fc.tuple(fc.constantFrom('1\r\nx', '4\r\nfine', '0004\r\nfine', '4;a=b\r\nfine', 'g\r\nx', '-1\r\nx', 'ffffffffffffffffff\r\nx'), lineEnd).map(parts => parts.join(''));
const chunkedBody = fc.tuple(fc.array(chunk, {maxLength: 3}), fc.constantFrom('0\r\n', ''), fc.array(header, {maxLength: 2}), lineEnd)
	.map(([chunks, last, trailers, end]) => [...chunks, last, ...trailers, end].join(''));

/** Framing headers and a body that may or may not fit to them. */
const framedBody = fc.oneof(
	{weight: 2, arbitrary: fc.constant('Content-Length: 4\r\n\r\nfine')},
	fc.constantFrom('Content-Length: 9\r\n\r\nfine', 'Content-Length: 4\r\nContent-Length: 5\r\n\r\nfine', 'Content-Length: 4\r\n\r\nfine and more', '\r\nfine', 'Transfer-Encoding: gzip\r\n\r\nfine'),
	chunkedBody.map(body => `Transfer-Encoding: chunked\r\n\r\n${body}`),
	chunkedBody.map(body => `Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n${body}`),
);

type Mutation = (text: string) => string;

const at = (text: string, share: number): number => Math.floor(share * (text.length + 1));
const share = fc.double({
	min: 0, max: 1, noNaN: true, maxExcluded: true,
});
const mutation: fc.Arbitrary<Mutation> = fc.oneof(
	{weight: 3, arbitrary: fc.constant((text: string) => text)},
	share.map(part => (text: string) => text.slice(0, at(text, part))),
	fc.tuple(share, anyBytes).map(([part, bytes]) => (text: string) => text.slice(0, at(text, part)) + bytes + text.slice(at(text, part))),
	fc.tuple(share, byte).map(([part, replacement]) => (text: string) => text.slice(0, at(text, part)) + replacement + text.slice(at(text, part) + 1)),
	fc.constant((text: string) => text + text),
);

const startLineOf = (version: fc.Arbitrary<string>, status: fc.Arbitrary<string>, phrase: fc.Arbitrary<string>) => fc.tuple(version, status, phrase, lineEnd)
	.map(([protocol, code, reason, end]) => `HTTP/${protocol} ${code}${reason}${end}`);

const statusLine = startLineOf(
	fc.oneof({weight: 8, arbitrary: fc.constant('1.1')}, fc.constantFrom('1.0', '2.0', '0.9', '1.2')),
	fc.oneof({weight: 4, arbitrary: fc.constantFrom('200', '204', '304', '404', '500', '503', '421')}, fc.constantFrom('000', '099', '100', '101', '103', '199', '600', '999', '20', '2000', 'abc')),
	fc.oneof({weight: 2, arbitrary: fc.constantFrom(' OK', '', ' ')}, anyBytes.map(bytes => ` ${bytes}`)),
);

/**
 * Creates arbitrary responses, as texts of Latin-1 characters.
 *
 * @param headers - Header lines that a complete response has, each with its line end.
 * @returns The arbitrary.
 */
export const arbitraryResponses = (headers: string): fc.Arbitrary<string> => fc
	.tuple(fc.array(statusLine, {minLength: 1, maxLength: 2}), fc.array(header, {maxLength: 3}), framedBody, mutation)
	.map(([statusLines, extraHeaders, body, mutate]) => mutate(`${statusLines.join('\r\n')}${headers}${extraHeaders.join('')}${body}`));

const requestLine = fc.tuple(
	fc.oneof({weight: 4, arbitrary: fc.constantFrom('GET', 'POST', 'PUT', 'HEAD')}, fc.constantFrom('CONNECT', 'OPTIONS', 'TRACE', 'PRI', 'get', '')),
	fc.oneof({weight: 3, arbitrary: fc.constantFrom('/a', '/a?b=c')}, fc.constantFrom('*', '//', '/%', 'http://shop.example/a', 'shop.example:80', '', '/\u00FF'), anyBytes.map(bytes => `/${bytes}`)),
	fc.oneof({weight: 8, arbitrary: fc.constant('HTTP/1.1')}, fc.constantFrom('HTTP/1.0', 'HTTP/2.0', '')),
	lineEnd,
).map(([method, target, protocol, end]) => `${method} ${target} ${protocol}${end}`);

/**
 * Creates arbitrary requests, as texts of Latin-1 characters.
 *
 * @param headers - Header lines that a complete request has, each with its line end.
 * @returns The arbitrary.
 */
export const arbitraryRequests = (headers: string): fc.Arbitrary<string> => fc
	.tuple(requestLine, fc.array(header, {maxLength: 3}), framedBody, mutation)
	.map(([line, extraHeaders, body, mutate]) => mutate(`${line}${headers}${extraHeaders.join('')}${body}`));
