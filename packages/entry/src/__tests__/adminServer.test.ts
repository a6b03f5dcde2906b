import type {Offer} from '@filbertwell/configuration/offer';
import type {EntryState} from '@filbertwell/types/entryState';
import {err} from 'neverthrow';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {createAdminServer, type AdminServer} from '../adminServer.js';

let server: AdminServer;
let offers: Offer[];
beforeEach(async () => {
	offers = [];
	server = await createAdminServer({
		address: {host: '127.0.0.1', port: 0},
		readiness: () => ({ready: true, reason: 'serving'}),
		state(): EntryState {
			throw new Error('state must not be read in this test');
		},
		exposition: async () => '',
		explain: () => err('unknown'),
		acceptOffer(offer) {
			offers.push(offer);
			return true;
		},
	});
});
afterEach(async () => {
	await server.close();
});

const offerCases = [
	{name: 'an offer', body: '{"head":"{}","parts":["a"]}', status: 202},
	{name: 'text that is not JSON', body: '{', status: 400},
	{name: 'an offer without parts', body: '{"head":"{}"}', status: 400},
	{name: 'an empty body', body: '', status: 400},
	{name: 'an offer over the limit', body: `{"head":"","parts":["${'x'.repeat(5_000_000)}"]}`, status: 413},
];

test.each(offerCases)('$name gets status $status', async ({body, status}) => {
	const answer = await fetch(`http://127.0.0.1:${server.address.port}/configuration/offer`, {method: 'POST', body});
	expect(answer.status).toBe(status);
	expect(offers).toHaveLength(status === 202 ? 1 : 0);
});
