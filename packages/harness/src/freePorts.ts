/**
 * Finds free ports on loopback for processes whose ports must be set before they start.
 */
import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';

const openServer = async (host: string): Promise<Server> => {
	const server = createServer();
	server.listen(0, host);
	await once(server, 'listening');
	return server;
};

const closeServer = async (server: Server): Promise<void> => {
	server.close();
	await once(server, 'close');
};

/**
 * Finds ports that are currently free. All are opened before any is closed, so that they differ.
 *
 * @param count - Number of ports.
 * @param host - Address to listen on.
 * @returns The port numbers. They are closed again, so another process can take them.
 */
export const findFreePorts = async (count: number, host = '127.0.0.1'): Promise<number[]> => {
	const servers = await Promise.all(Array.from({length: count}, async () => openServer(host)));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => closeServer(server)));
	return ports;
};
