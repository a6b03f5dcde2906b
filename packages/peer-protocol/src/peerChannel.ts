/**
 * Channel between peers: heartbeats over UDP and JSON-RPC over HTTP, on the same port number.
 */
import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import type {Server} from 'node:http';
import {type AddressInfo, isIPv6} from 'node:net';
import {membershipEvents} from '@filbertwell/logger/events/membershipEvents';
import type {Logger} from '@filbertwell/logger/logger';
import type {SocketAddress} from '@filbertwell/types/place';
import {Subject, type Observable} from 'rxjs';
import {decodeHeartbeat, encodeHeartbeat} from './datagram.js';
import type {Heartbeat} from './heartbeat.js';
import type {MethodHandler, MethodName} from './methods.js';
import {describeThrown} from './peerError.js';
import {createRpcClient, type PeerCall} from './rpcClient.js';
import {addHandler, createDispatcher, createRpcServer} from './rpcServer.js';
import {createTrafficCounter, type Traffic} from './traffic.js';

/** Heartbeat with the address of its sender. */
export type ReceivedHeartbeat = {
	readonly from: SocketAddress;
	readonly heartbeat: Heartbeat;
};

/** Sends messages to peers and receives theirs. */
export type PeerChannel = {
	/** Address in use; its port is the assigned one if port 0 was requested. */
	readonly address: SocketAddress;
	/** Sends a heartbeat without waiting, compressed if the receiver accepts that. Returns its size in bytes; 0 if it could not be sent. */
	readonly sendHeartbeat: (to: SocketAddress, heartbeat: Heartbeat, acceptsDeflate?: boolean) => number;
	/** Emits each valid heartbeat; invalid datagrams are logged and dropped. */
	readonly heartbeats: Observable<ReceivedHeartbeat>;
	readonly call: PeerCall;
	/** Sets the handler of a method; calls of a method without one get the JSON-RPC error for unknown methods. */
	readonly handle: <Name extends MethodName>(method: Name, handler: MethodHandler<Name>) => void;
	/** Returns the traffic since the channel was opened. */
	readonly traffic: () => Traffic;
	readonly close: () => Promise<void>;
};

/** Address and log of a channel. */
export type PeerChannelOptions = {
	/** Address to listen on; port 0 requests any free port. */
	readonly address: SocketAddress;
	readonly log: Logger;
};

const maximumBindAttempts = 20;

const listenTcp = async (server: Server, address: SocketAddress): Promise<number> => {
	server.listen(address.port, address.host);
	await once(server, 'listening');
	return (server.address() as AddressInfo).port;
};

const bindUdp = async (address: SocketAddress): Promise<Socket> => {
	const socket = createSocket(isIPv6(address.host) ? 'udp6' : 'udp4');
	socket.bind(address.port, address.host);
	try {
		await once(socket, 'listening');
	} catch (error) {
		socket.close();
		throw error;
	}

	return socket;
};

/** Listens on TCP first; if port 0 was requested and the assigned port is not free for UDP, tries another one. */
const listenOnBoth = async (createHttpServer: () => Server, address: SocketAddress) => {
	for (let attempt = 1; ; attempt++) {
		const server = createHttpServer();
		const port = await listenTcp(server, address); // eslint-disable-line no-await-in-loop
		try {
			const socket = await bindUdp({host: address.host, port}); // eslint-disable-line no-await-in-loop
			return {server, socket, port};
		} catch (error) {
			server.close();
			if (address.port !== 0 || attempt === maximumBindAttempts) {
				throw error;
			}
		}
	}
};

/**
 * Opens a channel.
 *
 * @param options - Address and log.
 * @returns The channel; rejects if it can't listen on the address.
 */
export const createPeerChannel = async ({address, log}: PeerChannelOptions): Promise<PeerChannel> => {
	const counter = createTrafficCounter();
	const dispatcher = createDispatcher();
	const {server, socket, port} = await listenOnBoth(() => createRpcServer(dispatcher, counter), address);
	const client = createRpcClient(counter);
	const heartbeats = new Subject<ReceivedHeartbeat>();
	let isClosed = false;

	socket.on('message', (datagram, sender) => {
		counter.countDatagramIn(datagram.length);
		const decoded = decodeHeartbeat(datagram);
		if (decoded.isOk()) {
			heartbeats.next({from: {host: sender.address, port: sender.port}, heartbeat: decoded.value});
		} else {
			log(membershipEvents.datagramRejected, {from: `${sender.address}:${sender.port}`, reason: decoded.error.detail});
		}
	});
	socket.on('error', error => {
		log(membershipEvents.datagramNotSent, {reason: error.message});
	});

	return {
		address: {host: address.host, port},
		heartbeats,
		sendHeartbeat(to, heartbeat, acceptsDeflate = false) {
			const datagram = encodeHeartbeat(heartbeat, acceptsDeflate);
			if (isClosed || datagram.isErr()) {
				log(membershipEvents.datagramNotSent, {to: `${to.host}:${to.port}`, reason: datagram.isErr() ? datagram.error.detail : 'channel closed'});
				return 0;
			}

			try {
				socket.send(datagram.value, to.port, to.host, error => {
					if (error) {
						log(membershipEvents.datagramNotSent, {to: `${to.host}:${to.port}`, reason: error.message});
					}
				});
			} catch (error) {
				log(membershipEvents.datagramNotSent, {to: `${to.host}:${to.port}`, reason: describeThrown(error)});
				return 0;
			}

			counter.countDatagramOut(datagram.value.length);
			return datagram.value.length;
		},
		call: client.call,
		handle(method, handler) {
			addHandler(dispatcher, method, handler);
		},
		traffic: counter.read,
		async close() {
			if (isClosed) {
				return;
			}

			isClosed = true;
			heartbeats.complete();
			client.close();
			const serverClosed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			const socketClosed = once(socket, 'close');
			socket.close();
			await Promise.all([serverClosed, socketClosed]);
		},
	};
};
