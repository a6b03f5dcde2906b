import process from 'node:process';
import {afterEach, expect, test} from 'vitest';
import {
	call, closeGateways, respondOk, startGateway,
} from './gatewayFixture.js';

afterEach(closeGateways);

test('a kept connection to an endpoint gathers no listeners over its requests', async () => {
	const warnings: string[] = [];
	const onWarning = ({name}: Error) => {
		warnings.push(name);
	};

	process.on('warning', onWarning);
	const {gateway, endpoints} = await startGateway([respondOk]);
	for (let request = 0; request < 30; request++) {
		expect(await call(gateway.port)).toMatchObject({status: 200}); // eslint-disable-line no-await-in-loop
	}

	process.off('warning', onWarning);
	expect(endpoints[0]!.connectionCount()).toBe(1);
	expect(warnings).not.toContain('MaxListenersExceededWarning');
});
