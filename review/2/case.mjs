/**
 * LOST: a few clients that send bodies of the permitted size at the same time end a gateway process.
 */
import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import {send, startClient} from '../standins/clients.mjs';
import {
	hasTrouble, manifestOf, routeOf, runCase, wait, zones,
} from '../standins/deployment.mjs';

const memoryMb = 350;
const smallBytes = 24_000;
const largeBytes = 67_108_864;
const uploaders = 3;
const uploads = 3;
const clientsPerZone = 6;
const allowedLosses = 3;

await runCase('2', async (deployment, record) => {
	deployment.store.put('op', 'config', manifestOf(7, [routeOf('browse', 'gallery', 'safe'), routeOf('order', 'checkout', 'unsafe', {timeoutS: 2.5})]));
	for (const zone of Object.keys(zones)) {
		for (const service of ['gallery', 'checkout']) {
			await deployment.addEndpoint(service, zone); // eslint-disable-line no-await-in-loop
			await deployment.addEndpoint(service, zone); // eslint-disable-line no-await-in-loop
		}
	}

	for (const zone of ['north-a', 'central-a', 'south-a']) {
		await deployment.addGateway(zone, {memoryMb}); // eslint-disable-line no-await-in-loop
	}

	await deployment.settle();
	const directories = () => deployment.gateways.filter(gateway => gateway.isRunning()).map(({lookups}) => lookups);
	const clients = Object.entries(zones).flatMap(([zone, region]) => Array.from({length: clientsPerZone}, () => startClient(record, {
		directories, region, zone, method: 'GET', path: '/browse/', deadlineMs: 4000, pauseMs: 100,
	})));
	await wait(3000);
	const body = Buffer.alloc(hasTrouble ? largeBytes : smallBytes, 'x');
	record('uploads begin', {bytes: body.length, uploaders});
	for (let round = 0; round < uploads; round++) {
		const {callers: address} = deployment.gateways[round];
		await Promise.all(Array.from({length: uploaders}, async () => { // eslint-disable-line no-await-in-loop
			const agent = new Agent({keepAlive: true, maxSockets: 1});
			await send(record, {
				address, agent, method: 'PUT', path: '/order/large', body, deadlineMs: 3000,
			});
			agent.destroy();
		}));
		await wait(1500); // eslint-disable-line no-await-in-loop
	}

	await wait(3000);
	await Promise.all(clients.map(async client => client.stop()));
	const results = clients.flatMap(client => client.results);
	const lost = results.filter(({id, kind, isKept}) => isKept && kind === 'closed' && deployment.ranAt.has(id));
	return {
		isBroken: lost.length > allowedLosses,
		requests: results.length,
		answered: results.filter(({kind}) => kind === 'answered').length,
		endsOverMemory: deployment.gateways.reduce((sum, {ownEnds}) => sum + ownEnds, 0),
		peakMb: deployment.gateways.map(({peakMb}) => Math.round(peakMb)),
		lostOnKeptConnections: lost.length,
		allowed: allowedLosses,
	};
});
