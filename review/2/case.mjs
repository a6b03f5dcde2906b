/**
 * LOST: one endpoint answer with a byte in its status line that HTTP doesn't allow ends a gateway process.
 */
import {startClient} from '../standins/clients.mjs';
import {
	hasTrouble, manifestOf, routeOf, runCase, wait, zones,
} from '../standins/deployment.mjs';

const clientsPerZone = 8;
const spoiledShare = 0.02;
const faultSeconds = 5.5;
const allowedLosses = 3;
const browse = {method: 'GET', path: '/browse/'};
const order = {method: 'POST', path: '/order/', body: '{"cake":1}'};

await runCase('2', async (deployment, record) => {
	deployment.store.put('op', 'config', manifestOf(7, [routeOf('browse', 'gallery', 'safe'), routeOf('order', 'checkout', 'unsafe', {timeoutS: 2.5})]));
	let isFaulty = false;
	let answers = 0;
	let spoiled = 0;
	const faultyIds = new Set();

	/** Spoils one in 50 of the answers of the faulty endpoints: a byte of the status line becomes zero. */
	const respond = (id, request, {body, headers}) => {
		if (!isFaulty || !faultyIds.has(id)) {
			return false;
		}

		answers += 1;
		if (answers % (1 / spoiledShare) !== 0) {
			return false;
		}

		spoiled += 1;
		record('spoiled answer', {request: request.headers['x-filbertwell-request-id'], endpoint: id});
		const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		request.socket.write(`HTTP/1.1 200 O\u0000\r\n${fields}\r\n`);
		request.socket.write(body);
		return true;
	};

	for (const zone of Object.keys(zones)) {
		for (const service of ['gallery', 'checkout']) {
			for (const copy of [1, 2]) {
				const id = `i-${service}-${zone}-${copy}`;
				await deployment.addEndpoint(service, zone, { // eslint-disable-line no-await-in-loop
					id, workMs: service === 'gallery' ? 400 : 300, respond: (request, response, answer) => respond(id, request, answer),
				});
			}
		}
	}

	for (const zone of ['north-a', 'central-a', 'south-a', 'north-b']) {
		await deployment.addGateway(zone); // eslint-disable-line no-await-in-loop
	}

	await deployment.settle();
	const directories = () => deployment.gateways.filter(gateway => gateway.isRunning()).map(({lookups}) => lookups);
	const clients = Object.entries(zones).flatMap(([zone, region]) => Array.from({length: clientsPerZone}, (_, index) => startClient(record, {
		directories, region, zone, deadlineMs: 4000, pauseMs: 100, ...(index % 3 === 0 ? order : browse),
	})));
	await wait(4000);

	if (hasTrouble) {
		for (const {id} of deployment.endpoints.filter((_, index) => index % 3 === 0)) {
			faultyIds.add(id);
		}

		record('disruption begins', {faulty: [...faultyIds]});
		isFaulty = true;
		await wait(faultSeconds * 1000);
		isFaulty = false;
		record('disruption ends', {spoiled});
	}

	await wait(4000);
	const ownEnds = deployment.gateways.reduce((sum, {ownEnds: ends}) => sum + ends, 0);
	await Promise.all(clients.map(async client => client.stop()));

	// Requests of kept connections that ran at a sound endpoint and whose connection was closed without an answer.
	const {ranAt} = deployment;
	const results = clients.flatMap(client => client.results);
	const lost = results.filter(({id, kind, isKept}) => isKept && kind === 'closed' && ranAt.has(id) && !faultyIds.has(ranAt.get(id)));
	return {
		isBroken: lost.length > allowedLosses,
		requests: results.length,
		answered: results.filter(({kind}) => kind === 'answered').length,
		spoiledAnswers: spoiled,
		ownEndsOfGateways: ownEnds,
		lostOnKeptConnections: lost.length,
		allowed: allowedLosses,
	};
});
