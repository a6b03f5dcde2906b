import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {silentLogger} from '@filbertwell/logger/logger';
import {firstValueFrom} from 'rxjs';
import {afterEach, expect, test} from 'vitest';
import type {Heartbeat} from '../heartbeat.js';
import type {MethodHandler} from '../methods.js';
import {createPeerChannel, type PeerChannel} from '../peerChannel.js';

const channels: PeerChannel[] = [];

type PartHandler = MethodHandler<'configuration.part'>;

const open = async (handler?: PartHandler): Promise<PeerChannel> => {
	const channel = await createPeerChannel({address: {host: '127.0.0.1', port: 0}, log: silentLogger});
	if (handler !== undefined) {
		channel.handle('configuration.part', handler);
	}

	channels.push(channel);
	return channel;
};

afterEach(async () => {
	await Promise.all(channels.splice(0).map(async channel => channel.close()));
});

const heartbeat: Heartbeat = {
	kind: 'probe',
	sender: {
		id: 'entry-1', incarnation: 5, sequence: 9, state: 'serving', health: 'alive', configurationVersion: 3,
	},
};

const post = async (channel: PeerChannel, body: string, path = '/rpc') => {
	const response = await fetch(`http://127.0.0.1:${channel.address.port}${path}`, {method: 'POST', body});
	return {status: response.status, text: await response.text()};
};

test('a heartbeat arrives whole with its sender\'s address', async () => {
	const [a, b] = [await open(), await open()];
	const received = firstValueFrom(b.heartbeats);
	expect(a.sendHeartbeat(b.address, heartbeat)).toBeGreaterThan(0);
	expect(await received).toEqual({from: a.address, heartbeat});
	expect(a.traffic().datagramBytesOut).toBe(b.traffic().datagramBytesIn);
});

test('datagrams that are no heartbeats are dropped, and later heartbeats still arrive', async () => {
	const [a, b] = [await open(), await open()];
	const received = firstValueFrom(b.heartbeats);
	const stranger = createSocket('udp4');
	for (const bytes of ['', '{', 'null', '{"jsonrpc":"2.0","method":"heartbeat","params":{"kind":"probe"}}', '\uD800']) {
		stranger.send(Buffer.from(bytes), b.address.port, b.address.host);
	}

	a.sendHeartbeat(b.address, heartbeat);
	const {heartbeat: arrived} = await received;
	expect(arrived.sender.id).toBe('entry-1');
	stranger.close();
});

test('a method is answered by its handler', async () => {
	const server = await open(({hash}) => ({content: `content of ${hash}`}));
	const client = await open();
	const answer = await client.call(server.address, 'configuration.part', {hash: 'abc'});
	expect(answer._unsafeUnwrap()).toEqual({content: 'content of abc'});
	expect(client.traffic().rpcBytesIn).toBe(server.traffic().rpcBytesOut);
});

test.each([
	['no handler', undefined, 'refused'],
	['a handler that rejects', async () => {
		throw new Error('no such part');
	}, 'refused'],
	['a result of another form', () => ({content: 7}), 'malformed'],
])('a call with %s gives a typed error', async (_, handler, kind) => {
	const server = await open(handler as PartHandler | undefined);
	const client = await open();
	const answer = await client.call(server.address, 'configuration.part', {hash: 'abc'});
	expect(answer._unsafeUnwrapErr().kind).toBe(kind);
});

test('a call to a closed peer is unreachable', async () => {
	const server = await open();
	const client = await open();
	await server.close();
	const answer = await client.call(server.address, 'configuration.head', {});
	expect(answer._unsafeUnwrapErr().kind).toBe('unreachable');
});

test.each([
	['not JSON', 'x', 200, '-32700'],
	['no request', '[]', 200, '-32600'],
	['unknown method', '{"jsonrpc":"2.0","id":1,"method":"other"}', 200, '-32601'],
	['wrong parameters', '{"jsonrpc":"2.0","id":1,"method":"configuration.part","params":{"hash":1}}', 200, '-32602'],
	['a body over the limit', 'x'.repeat(70_000), 413, 'body over'],
])('%s is answered with an error', async (_, body, status, text) => {
	const server = await open(() => ({}));
	const answer = await post(server, body);
	expect(answer.status).toBe(status);
	expect(answer.text).toContain(text);
});

test('another path is answered 404', async () => {
	const server = await open();
	const answer = await post(server, '{}', '/other');
	expect(answer.status).toBe(404);
});
