/**
 * DRAIN: after all other instances have been lost for good, the last one's directory names them for too long.
 */
import {resolveAddresses} from '../standins/clients.mjs';
import {
	hasTrouble, manifestOf, routeOf, runCase, wait, zones,
} from '../standins/deployment.mjs';
import {bounds} from '../standins/gateways.mjs';

const places = ['north-a', 'north-a', 'north-b', 'central-a', 'central-a', 'central-b', 'south-a', 'south-b'];
const clients = 30;
const allowedAnswers = 3;
const lookupLifetimeMs = 2000;
const playMs = 30_000;

await runCase('5', async (deployment, record) => {
	deployment.store.put('op', 'config', manifestOf(7, [routeOf('browse', 'gallery', 'safe')]));
	for (const zone of Object.keys(zones)) {
		await deployment.addEndpoint('gallery', zone); // eslint-disable-line no-await-in-loop
	}

	for (const zone of places) {
		await deployment.addGateway(zone); // eslint-disable-line no-await-in-loop
	}

	await deployment.settle();
	await wait(5000);
	const [survivor, ...others] = deployment.gateways;
	const lostAddresses = new Set();
	if (hasTrouble) {
		for (const gateway of others) {
			gateway.remove();
			lostAddresses.add(gateway.callers);
		}
	}

	const lostAtMs = performance.now();
	const stale = [];
	let answers = 0;
	const look = async index => {
		await wait(lookupLifetimeMs * index / clients);
		while (performance.now() - lostAtMs < playMs) {
			const askedAtMs = performance.now();
			const addresses = await resolveAddresses(survivor.lookups, 'north', 'north-a'); // eslint-disable-line no-await-in-loop
			const sinceS = (askedAtMs - lostAtMs) / 1000;
			answers += 1;
			record('look-up', {sinceS, addresses});
			if (sinceS > bounds.contact_s + 3 && addresses.includes(survivor.callers) && addresses.some(address => lostAddresses.has(address))) {
				stale.push(sinceS);
			}

			await wait(lookupLifetimeMs); // eslint-disable-line no-await-in-loop
		}
	};

	await Promise.all(Array.from({length: clients}, async (_, index) => look(index)));
	return {
		isBroken: stale.length > allowedAnswers, lookups: answers, staleAnswers: stale.length, allowed: allowedAnswers, lastStaleAfterS: Math.max(0, ...stale),
	};
});
