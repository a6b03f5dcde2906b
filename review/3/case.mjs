/**
 * EVAC: an evacuation that was taken back and ordered again while the store rejected a gateway for a moment is lost there.
 */
import {startClient} from '../standins/clients.mjs';
import {
	hasTrouble, manifestOf, routeOf, runCase, wait, zones,
} from '../standins/deployment.mjs';
import {bounds} from '../standins/gateways.mjs';

const clientsPerZone = 4;
const evacuatedZone = 'north-a';

await runCase('3', async (deployment, record) => {
	const routes = [routeOf('browse', 'gallery', 'safe')];
	deployment.store.put('op', 'config', manifestOf(7, routes));
	const evacuatedEndpoints = new Set();
	for (const zone of Object.keys(zones)) {
		for (const copy of [1, 2]) {
			const {id} = await deployment.addEndpoint('gallery', zone, {id: `i-gallery-${zone}-${copy}`}); // eslint-disable-line no-await-in-loop
			if (zone === evacuatedZone) {
				evacuatedEndpoints.add(id);
			}
		}
	}

	for (const zone of ['north-a', 'north-b', 'central-a', 'south-a']) {
		await deployment.addGateway(zone); // eslint-disable-line no-await-in-loop
	}

	await deployment.settle();
	const directories = () => deployment.gateways.map(({lookups}) => lookups);
	const clients = Object.entries(zones).flatMap(([zone, region]) => Array.from({length: clientsPerZone}, () => startClient(record, {
		directories, region, zone, method: 'GET', path: '/browse/', deadlineMs: 4000, pauseMs: 100,
	})));
	await wait(2000);
	const evacuate = () => {
		deployment.store.put('op', `evacuate/${evacuatedZone}`, {});
		record('operator', {confirmed: `op/evacuate/${evacuatedZone}`});
	};

	const takeBack = () => {
		deployment.store.remove('op', `evacuate/${evacuatedZone}`);
		record('operator', {confirmed: `op/evacuate/${evacuatedZone} removed`});
	};

	evacuate();
	await wait(8000);
	deployment.store.put('op', 'config', manifestOf(9, routes));
	record('operator', {confirmed: 'op/config 00000009'});
	await wait(100);
	const [{front, name, callers}] = deployment.gateways;
	if (hasTrouble) {
		record('disruption begins', {rejected: name});
		front.reject();
	}

	await wait(400);
	takeBack();
	await wait(400);
	evacuate();
	const evacuatedAtMs = performance.now();
	await wait(400);
	if (hasTrouble) {
		front.accept();
		record('disruption ends', {});
	}

	// Bound of the rule, and the time after which the gateway is in touch again.
	await wait(Math.max(bounds.evacuate_s, bounds.contact_s + 1) * 1000);
	const boundAtMs = performance.now();
	await wait(10_000);
	await Promise.all(clients.map(async client => client.stop()));
	const late = clients.flatMap(({results}) => results)
		.filter(({id, sentAtMs}) => sentAtMs > boundAtMs && evacuatedEndpoints.has(deployment.ranAt.get(id)));
	return {
		isBroken: late.length > 0,
		evacuatedSinceS: (boundAtMs - evacuatedAtMs) / 1000,
		requestsInEvacuatedZone: late.length,
		fromRejectedGateway: late.filter(({address}) => address === callers).length,
	};
});
