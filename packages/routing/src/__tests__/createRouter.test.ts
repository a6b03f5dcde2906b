import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createTestRouter, endpoint, route} from './testRouter.js';

const order = route({name: 'order', kind: 'atMostOnce', hedge: false});

test('refuses a request as not run when the service has no endpoint or does not exist', async () => {
	const {routeRequest} = createTestRouter([]);
	expect(await routeRequest()).toMatchObject({kind: 'not-run', reason: 'noEndpoint', attempts: 0});
	expect(await routeRequest({service: 'other'})).toMatchObject({kind: 'not-run', reason: 'unknownService', attempts: 0});
});

test('refuses a request whose deadline has passed without an attempt', async () => {
	const {routeRequest, sent} = createTestRouter([endpoint('a')]);
	expect(await routeRequest({deadlineAtMs: 0})).toMatchObject({kind: 'not-run', reason: 'deadlineTooShort'});
	expect(sent).toHaveLength(0);
});

test('a request waits until a slot is free and is then bound to it', async () => {
	const {routeRequest, sent, timers} = createTestRouter([endpoint('a', {slots: 1})]);
	const first = routeRequest();
	const second = routeRequest();
	await timers.settle();
	expect(sent).toHaveLength(1);
	sent[0]!.answer();
	await timers.settle();
	expect(sent).toHaveLength(2);
	sent[1]!.answer();
	expect(await first).toMatchObject({kind: 'answered'});
	expect(await second).toMatchObject({kind: 'answered'});
});

test('holds a slot until the body of the answer has ended', async () => {
	const {routeRequest, sent, timers} = createTestRouter([endpoint('a', {slots: 1})]);
	void routeRequest();
	void routeRequest();
	await timers.settle();
	const end = sent[0]!.sendHeaders();
	await timers.settle();
	expect(sent).toHaveLength(1);
	end('complete');
	await timers.settle();
	expect(sent).toHaveLength(2);
});

test('refuses a waiting request as not run before its deadline passes', async () => {
	const {routeRequest, timers, sent} = createTestRouter([endpoint('a', {slots: 1})]);
	void routeRequest();
	const waiting = routeRequest();
	await timers.advance(990);
	expect(await waiting).toMatchObject({kind: 'not-run', reason: 'waitedTooLong', attempts: 0});
	expect(sent).toHaveLength(1);
});

test('refuses a request that cannot meet its deadline on arrival, without queueing it', async () => {
	const {routeRequest, learnDurations, timers} = createTestRouter([endpoint('a', {slots: 1})]);
	await learnDurations(25, 100);
	const outcomes = Array.from({length: 20}, async () => routeRequest());
	await timers.settle();
	const refused = await Promise.all(outcomes.slice(-5));
	expect(refused.every(outcome => outcome.kind === 'not-run' && outcome.reason === 'deadlineTooShort')).toBe(true);
	expect(timers.now()).toBe(2500);
});

test.each([
	{
		name: 'idempotent and failed', request: {}, first: {kind: 'failed', reason: 'reset'} as const, attempts: 2,
	},
	{
		name: 'at most once and failed', request: {route: order}, first: {kind: 'failed', reason: 'reset'} as const, attempts: 1,
	},
	{
		name: 'at most once and proved not run', request: {route: order}, first: {
			kind: 'not-run', reason: 'refused', cause: 'refused', report: undefined,
		} as const, attempts: 2,
	},
	{
		name: 'not replayable', request: {replayable: false}, first: {kind: 'failed', reason: 'reset'} as const, attempts: 1,
	},
])('retries a failed attempt only when a second run is safe: $name', async ({request, first, attempts}) => {
	const {routeRequest, learnDurations, sent, timers} = createTestRouter([endpoint('a'), endpoint('b')]);
	await learnDurations(30, 10);
	const outcome = routeRequest(request);
	await timers.settle();
	const failed = sent[0]!;
	failed.settle(first);
	await timers.settle();
	expect(sent).toHaveLength(attempts);
	for (const attempt of sent.slice(1)) {
		expect(attempt.endpoint).not.toBe(failed.endpoint);
		attempt.answer();
	}

	const expected = attempts === 2 ? 'answered' : 'in-doubt';
	expect(await outcome).toMatchObject({kind: expected, attempts});
});

test('reports a refusal after an attempt that may have run as in doubt', async () => {
	const {routeRequest, learnDurations, sent, timers} = createTestRouter([endpoint('a'), endpoint('b')]);
	await learnDurations(30, 10);
	const outcome = routeRequest();
	await timers.settle();
	sent[0]!.settle({kind: 'failed', reason: 'reset'});
	await timers.settle();
	for (let index = 1; index < sent.length; index += 1) {
		sent[index]!.settle({
			kind: 'not-run', reason: 'refused', cause: 'refused', report: undefined,
		});
		await timers.settle(); // eslint-disable-line no-await-in-loop
	}

	expect(await outcome).toMatchObject({kind: 'in-doubt'});
});

test('a hedge runs in another zone, and the slower attempt is cancelled', async () => {
	const {routeRequest, learnDurations, sent, timers} = createTestRouter([endpoint('a', {slots: 4}), endpoint('b', {availabilityZone: 'n2', slots: 4})]);
	await learnDurations(60, 100);
	const outcome = routeRequest();
	await timers.advance(150);
	expect(sent).toHaveLength(1);
	await timers.advance(100);
	expect(sent).toHaveLength(2);
	expect(sent[1]!.endpoint).not.toBe(sent[0]!.endpoint);
	expect(sent[1]!.attempt.cause).toBe('hedge');
	sent[1]!.answer();
	expect(await outcome).toMatchObject({kind: 'answered', answer: sent[1]!.endpoint});
	expect(sent[0]!.attempt.signal.aborted).toBe(true);
});

test('never hedges an at-most-once request', async () => {
	const {routeRequest, learnDurations, sent, timers} = createTestRouter([endpoint('a', {slots: 4}), endpoint('b', {availabilityZone: 'n2', slots: 4})]);
	await learnDurations(60, 100);
	void routeRequest({route: {...order, hedge: true}});
	await timers.advance(900);
	expect(sent).toHaveLength(1);
});

test('cancels the attempt of a caller that disconnects and releases its slot', async () => {
	const {routeRequest, router, sent, timers} = createTestRouter([endpoint('a')]);
	const caller = new AbortController();
	const outcome = routeRequest({signal: caller.signal});
	await timers.settle();
	caller.abort();
	expect(await outcome).toMatchObject({kind: 'cancelled', written: true});
	await timers.settle();
	expect(sent[0]!.attempt.signal.aborted).toBe(true);
	expect(router.load()).toStrictEqual({inFlight: 0, queued: 0});
});

test('removes a waiting request from the queue when its caller disconnects', async () => {
	const {routeRequest, router, timers} = createTestRouter([endpoint('a', {slots: 1})]);
	void routeRequest();
	const caller = new AbortController();
	const outcome = routeRequest({signal: caller.signal});
	await timers.settle();
	expect(router.load().queued).toBe(1);
	caller.abort();
	expect(await outcome).toMatchObject({kind: 'cancelled', written: false});
	expect(router.load().queued).toBe(0);
});

test('sends nothing or reports in doubt when the deadline passes at the start of an attempt', async () => {
	const {routeRequest, sent, timers} = createTestRouter([endpoint('a')]);
	const outcome = routeRequest({deadlineAtMs: timers.now() + 0.001});
	await timers.advance(1);
	expect(await outcome).toMatchObject({kind: sent.length === 0 ? 'not-run' : 'in-doubt'});
});

test('reports an attempt that the deadline cancels as in doubt', async () => {
	const {routeRequest, timers} = createTestRouter([endpoint('a')]);
	const outcome = routeRequest();
	await timers.advance(1000);
	expect(await outcome).toMatchObject({kind: 'in-doubt', reason: 'deadline'});
});

test.each(['report', 'instanceList', 'drain'] as const)('sends no new requests to an endpoint that is leaving according to %s', async source => {
	const endpoints = [endpoint('a'), endpoint('b')];
	const drains = source === 'drain'
		? [{
			target: 'endpoint' as const, name: 'a', pace: 'immediate' as const, reason: 'test',
		}]
		: [];
	const {routeRequest, router, sent, timers} = createTestRouter(endpoints, {}, {drains});
	if (source === 'report') {
		router.observeReport('a', {
			state: 'leaving', slots: 2, inUse: 0, queued: 0,
		}, 0);
	} else if (source === 'instanceList') {
		router.setLeaving(['a']);
	}

	void routeRequest();
	void routeRequest();
	await timers.settle();
	expect(sent.map(attempt => attempt.endpoint)).toStrictEqual(['b', 'b']);
});

test('refuses a request as not run when steering refuses to choose a zone', async () => {
	const {routeRequest, sent} = createTestRouter([endpoint('a')], {chooseZone: () => ({kind: 'refused'})});
	expect(await routeRequest()).toMatchObject({kind: 'not-run', reason: 'noZone', attempts: 0});
	expect(sent).toHaveLength(0);
});

test('stays in the region of the zone that steering chose, and uses other regions without a choice', async () => {
	const endpoints = [endpoint('a', {slots: 1}), endpoint('s', {availabilityZone: 's1', slots: 1})];
	const steered = createTestRouter(endpoints, {chooseZone: () => ({kind: 'zone', availabilityZone: 'n1'})});
	void steered.routeRequest();
	void steered.routeRequest();
	await steered.timers.settle();
	expect(steered.sent.map(attempt => attempt.endpoint)).toStrictEqual(['a']);
	const unsteered = createTestRouter(endpoints);
	void unsteered.routeRequest();
	void unsteered.routeRequest();
	await unsteered.timers.settle();
	expect(unsteered.sent.map(attempt => attempt.endpoint)).toStrictEqual(['a', 's']);
});

test('sends no new request over a link in debt until the debt is refilled', async () => {
	const {routeRequest, sent, timers} = createTestRouter([endpoint('s', {availabilityZone: 's1', slots: 4})], {}, {
		linkCaps: [{between: ['north', 'south'], megabitsPerSecond: 8}],
	});
	void routeRequest();
	await timers.settle();
	sent[0]!.attempt.countBytes(0, 1_000_000);
	void routeRequest();
	await timers.settle();
	expect(sent).toHaveLength(1);
	await timers.advance(600);
	expect(sent).toHaveLength(2);
});

test('ejects a slow endpoint by its measured times, although it reports no load', async () => {
	const {routeRequest, learnDurations, router, sent, timers} = createTestRouter([endpoint('a'), endpoint('b'), endpoint('c')]);
	await learnDurations(60, 20);
	for (let index = 0; index < 60; index += 1) {
		const outcome = routeRequest({deadlineAtMs: timers.now() + 10_000});
		await timers.advance(20); // eslint-disable-line no-await-in-loop
		const slow = sent.filter(attempt => attempt.endpoint === 'a');
		for (const attempt of sent.splice(0)) {
			if (attempt.endpoint !== 'a') {
				attempt.answer();
			}
		}

		await timers.advance(slow.length > 0 ? 200 : 0); // eslint-disable-line no-await-in-loop
		for (const attempt of [...slow, ...sent.splice(0)]) {
			attempt.answer();
		}

		router.observeReport('a', {
			state: 'serving', slots: 2, inUse: 0, queued: 0,
		}, timers.now());
		await outcome; // eslint-disable-line no-await-in-loop
	}

	const states = router.state()[0]!.endpoints;
	expect(states.find(({id}) => id === 'a')).toMatchObject({health: 'ejected', ejectedFor: 'slow'});
	expect(states.filter(({health}) => health === 'healthy')).toHaveLength(2);
});

test('makes at most 1.1 attempts for each request and never exceeds the slots of an endpoint, for any failures', async () => {
	await fc.assert(fc.asyncProperty(fc.array(fc.constantFrom('answer', 'error', 'failed', 'notRun', 'hang'), {minLength: 30, maxLength: 120}), async attemptResults => {
		const {routeRequest, sent, timers, router} = createTestRouter([endpoint('a', {slots: 2}), endpoint('b', {availabilityZone: 'n2', slots: 2})]);
		let attempts = 0;
		const outcomes = [];
		for (const attemptResult of attemptResults) {
			outcomes.push(routeRequest());
			await timers.advance(7); // eslint-disable-line no-await-in-loop
			for (const {inFlight} of router.state()[0]!.endpoints) {
				expect(inFlight).toBeLessThanOrEqual(2);
			}

			attempts += sent.length;
			for (const attempt of sent.splice(0)) {
				switch (attemptResult) {
					case 'answer':
					case 'error': {
						attempt.answer(attemptResult === 'answer' ? 200 : 500);

						break;
					}

					case 'failed': {
						attempt.settle({kind: 'failed', reason: 'reset'});

						break;
					}

					case 'notRun': {
						attempt.settle({
							kind: 'not-run', reason: 'shed', cause: 'refused', report: undefined,
						});

						break;
					}

					case 'hang': {
						break;
					}
				}
			}
		}

		await timers.advance(5000);
		attempts += sent.length;
		const settled = await Promise.all(outcomes);
		expect(settled).toHaveLength(attemptResults.length);
		expect(attempts).toBeLessThanOrEqual(Math.floor(1.1 * attemptResults.length));
		expect(router.load()).toStrictEqual({inFlight: 0, queued: 0});
	}), {seed: 7, numRuns: 40});
});

test('hedges a request in a region whose own times are still unknown', async () => {
	const {routeRequest, learnDurations, sent, timers} = createTestRouter([
		endpoint('a', {slots: 1}),
		endpoint('s', {availabilityZone: 's1', slots: 4}),
		endpoint('b', {availabilityZone: 'n2', slots: 1}),
	]);
	await learnDurations(60, 100);
	const localRequests = [routeRequest(), routeRequest()];
	await timers.settle();
	void routeRequest();
	await timers.settle();
	expect(sent.map(attempt => attempt.endpoint).toSorted()).toStrictEqual(['a', 'b', 's']);
	for (const attempt of sent.filter(({endpoint: id}) => id !== 's')) {
		attempt.answer();
	}

	await Promise.all(localRequests);
	await timers.advance(450);
	expect(sent.at(-1)!.attempt.cause).toBe('hedge');
});

test.each([
	['', []],
	[' and its other endpoints are leaving', ['x', 'y']],
])('uses ejected endpoints when most endpoints of the chosen region are ejected%s', async (_name, leaving) => {
	const remoteEndpoints = ['c', 'd', 'e'].map(id => endpoint(id, {availabilityZone: 's1'}));
	const {routeRequest, sent, timers, router} = createTestRouter([endpoint('a'), endpoint('b'), ...leaving.map(id => endpoint(id)), ...remoteEndpoints], {
		chooseZone: () => ({kind: 'zone', availabilityZone: 'n1'}),
	});
	router.setLeaving(leaving);
	for (let index = 0; index < 30; index += 1) {
		void routeRequest({route: order, deadlineAtMs: timers.now() + 1000});
		await timers.settle(); // eslint-disable-line no-await-in-loop
		for (const attempt of sent.splice(0)) {
			attempt.settle({kind: 'failed', reason: 'reset'});
		}

		await timers.settle(); // eslint-disable-line no-await-in-loop
	}

	const ejected = router.state()[0]!.endpoints.filter(({health}) => health === 'ejected').map(({id}) => id);
	expect(ejected).toEqual(['a', 'b']);
	void routeRequest({route: order});
	await timers.settle();
	expect(sent).toHaveLength(1);
});

test('refuses requests beyond the maximum queue length', async () => {
	const {routeRequest, sent, timers} = createTestRouter([endpoint('a', {slots: 1})], {maximumQueued: 2});
	const running = routeRequest();
	await timers.settle();
	const waiting = [routeRequest(), routeRequest()];
	const refused = await routeRequest();
	expect(refused).toMatchObject({kind: 'not-run', reason: 'queueFull'});
	expect(sent).toHaveLength(1);
	for (const request of [running, ...waiting]) {
		sent.at(-1)!.answer();
		await request; // eslint-disable-line no-await-in-loop
		await timers.settle(); // eslint-disable-line no-await-in-loop
	}
});
