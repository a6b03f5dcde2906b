import {Buffer} from 'node:buffer';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {connect} from 'node:net';
import {silentLogger} from '@filbertwell/logger/logger';
import {firstValueFrom} from 'rxjs';
import {afterEach, expect, test} from 'vitest';
import type {Heartbeat} from '../heartbeat.js';
import type {MethodHandler} from '../methods.js';
import {createPeerChannel, type PeerChannel} from '../peerChannel.js';

const channels: PeerChannel[] = [];

type PartHandler = MethodHandler<'configuration.part'>;

const openChannel = async (handler?: PartHandler): Promise<PeerChannel> => {
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

test('a heartbeat arrives complete with the address of its sender', async () => {
	const [a, b] = [await openChannel(), await openChannel()];
	const received = firstValueFrom(b.heartbeats);
	expect(a.sendHeartbeat(b.address, heartbeat)).toBeGreaterThan(0);
	expect(await received).toEqual({from: a.address, heartbeat});
	expect(a.traffic().datagramBytesOut).toBe(b.traffic().datagramBytesIn);
});

test('a heartbeat arrives complete if it is compressed', async () => {
	const [a, b] = [await openChannel(), await openChannel()];
	const received = firstValueFrom(b.heartbeats);
	expect(a.sendHeartbeat(b.address, heartbeat, true)).toBeGreaterThan(0);
	expect(await received).toEqual({from: a.address, heartbeat});
});

test('a long answer is compressed for a peer that accepts it, and only for such a peer', async () => {
	const content = 'front-region-zone '.repeat(5000);
	const server = await openChannel(() => ({content}));
	const client = await openChannel();
	const answer = await client.call(server.address, 'configuration.part', {hash: 'abc'});
	expect(answer._unsafeUnwrap()).toEqual({content});
	expect(client.traffic().rpcBytesIn).toBeLessThan(content.length / 10);
	const earlierPeer = await fetch(`http://127.0.0.1:${server.address.port}/rpc`, {
		method: 'POST', headers: {'accept-encoding': 'identity'}, body: JSON.stringify({
			jsonrpc: '2.0', id: 1, method: 'configuration.part', params: {hash: 'abc'},
		}),
	});
	expect(earlierPeer.headers.get('content-encoding')).toBeNull();
	expect(await earlierPeer.json()).toMatchObject({result: {content}});
});

test('datagrams that are not heartbeats are dropped, and later heartbeats still arrive', async () => {
	const [a, b] = [await openChannel(), await openChannel()];
	const received = firstValueFrom(b.heartbeats);
	const foreignSocket = createSocket('udp4');
	for (const bytes of ['', '{', 'null', '{"jsonrpc":"2.0","method":"heartbeat","params":{"kind":"probe"}}', '\uD800']) {
		foreignSocket.send(Buffer.from(bytes), b.address.port, b.address.host);
	}

	a.sendHeartbeat(b.address, heartbeat);
	const {heartbeat: arrived} = await received;
	expect(arrived.sender.id).toBe('entry-1');
	foreignSocket.close();
});

test('a method is answered by its handler', async () => {
	const server = await openChannel(({hash}) => ({content: `content of ${hash}`}));
	const client = await openChannel();
	const answer = await client.call(server.address, 'configuration.part', {hash: 'abc'});
	expect(answer._unsafeUnwrap()).toEqual({content: 'content of abc'});
	expect(client.traffic().rpcBytesIn).toBe(server.traffic().rpcBytesOut);
});

test.each([
	['no handler', undefined, 'refused'],
	['a handler that rejects', async () => {
		throw new Error('no such part');
	}, 'refused'],
	['a result that does not match the schema', () => ({content: 7}), 'malformed'],
])('a call with %s gives a typed error', async (_, handler, kind) => {
	const server = await openChannel(handler as PartHandler | undefined);
	const client = await openChannel();
	const answer = await client.call(server.address, 'configuration.part', {hash: 'abc'});
	expect(answer._unsafeUnwrapErr().kind).toBe(kind);
});

test('a call to a closed peer fails as unreachable', async () => {
	const server = await openChannel();
	const client = await openChannel();
	await server.close();
	const answer = await client.call(server.address, 'configuration.head', {});
	expect(answer._unsafeUnwrapErr().kind).toBe('unreachable');
});

test.each([
	['a body that is not JSON', 'x', 200, '-32700'],
	['an empty batch', '[]', 200, '-32600'],
	['an unknown method', '{"jsonrpc":"2.0","id":1,"method":"other"}', 200, '-32601'],
	['a call with wrong parameters', '{"jsonrpc":"2.0","id":1,"method":"configuration.part","params":{"hash":1}}', 200, '-32602'],
	['a body over the limit', 'x'.repeat(70_000), 413, 'body over'],
])('%s is answered with an error', async (_, body, status, text) => {
	const server = await openChannel(() => ({}));
	const answer = await post(server, body);
	expect(answer.status).toBe(status);
	expect(answer.text).toContain(text);
});

test('a request for another path is answered with 404', async () => {
	const server = await openChannel();
	const answer = await post(server, '{}', '/other');
	expect(answer.status).toBe(404);
});

/** A process short of processor time prepared answers, large ones too, for peers that had given up. */
test('a call whose close was received before it was read is not handled', async () => {
	const handled: string[] = [];
	const server = await openChannel(({hash}) => {
		handled.push(hash);
		return {content: 'x'};
	});
	const callText = (hash: string) => JSON.stringify({
		jsonrpc: '2.0', id: 1, method: 'configuration.part', params: {hash},
	});
	const socket = connect(server.address.port, '127.0.0.1');
	await once(socket, 'connect');
	const body = callText('gone');
	socket.write(`POST /rpc HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
	socket.destroy();
	const {status} = await post(server, callText('waiting'));
	expect(status).toBe(200);
	expect(handled).toEqual(['waiting']);
});
