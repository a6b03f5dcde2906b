import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import {parseLogLine, traceRequest} from '../requestTrace.js';
import {createCliFixture, type CliFixture} from './cliFixture.js';

const formatLine = (second: number, name: string, fields: Readonly<Record<string, unknown>> = {}): string => JSON.stringify({
	time: new Date(second * 1000).toISOString(), event: 11_003, level: 'info', component: 'gateway', name, ...fields,
});

/** Log of a request that failed at an endpoint whose state had just changed, and was answered by a second endpoint. */
const lines = [
	formatLine(2, 'planInForce', {version: 7}),
	formatLine(8, 'endpointChanged', {endpoint: 'e1', service: 'stock', state: 'ready'}),
	formatLine(8.5, 'endpointChanged', {endpoint: 'x9', service: 'orders', state: 'ready'}),
	formatLine(9, 'tableLost', {table: 'registrations', reason: 'status 503'}),
	formatLine(10, 'sendEnded', {
		request: 'abc', service: 'stock', endpoint: 'e1', outcome: 'failed', reason: 'ECONNRESET', tookMs: 40,
	}),
	formatLine(10.2, 'sendEnded', {
		request: 'abc', service: 'stock', endpoint: 'e2', outcome: 'answered', status: 200, tookMs: 180, dropped: 12,
	}),
	formatLine(10.1, 'sendEnded', {request: 'other', service: 'stock', endpoint: 'e2'}),
];

describe('the trace of a request', () => {
	const entries = lines.map(text => parseLogLine(text, 'front-1.log')!);

	test('shows the request\'s lines and earlier state changes at its instance, ordered by time', () => {
		const {steps, dropped} = traceRequest(entries, 'abc');
		expect(steps.map(({name, offsetMs, kind}) => `${kind} ${name} ${offsetMs}`)).toEqual([
			'context endpointChanged -2000', 'context tableLost -1000', 'own sendEnded 0', 'own sendEnded 200',
		]);
		expect(steps[2]!.detail).toBe('service=stock endpoint=e1 outcome=failed reason=ECONNRESET tookMs=40');
		expect(dropped).toBe(12);
	});

	test('leaves out state changes at other instances', () => {
		const otherInstanceEntry = parseLogLine(formatLine(9.5, 'tableLost'), 'front-2.log')!;
		expect(traceRequest([...entries, otherInstanceEntry], 'abc').steps.filter(({source}) => source === 'front-2.log')).toEqual([]);
	});

	test('is empty for an unknown request', () => {
		expect(traceRequest(entries, 'nobody')).toEqual({steps: [], dropped: 0});
	});
});

describe('a log line', () => {
	test('may have a prefix that names the instance', () => {
		expect(parseLogLine(`  15.0594 front-south-1 ${lines[0]!}`, 'all.log')).toMatchObject({source: 'front-south-1', name: 'planInForce'});
	});

	test.each(['', 'Server listening', '{"time":"2026-01-01T00:00:00Z","name":', '{"name":"x"}', '[1]'])('that is not a log entry of this system is ignored: %s', text => {
		expect(parseLogLine(text, 'a.log')).toBeUndefined();
	});
});

describe('filbertwell trace', () => {
	let fixture: CliFixture;

	beforeAll(async () => {
		fixture = await createCliFixture();
		await fixture.writeText('front-1.log', `${lines.join('\n')}\nnot a log line\n`);
	});

	afterAll(async () => {
		await fixture.close();
	});

	test('prints the timeline', async () => {
		const run = await fixture.run(['trace', 'abc', 'front-1.log']);
		expect(run.code).toBe(0);
		expect(run.stdout).toMatch(/0 ms +front-1\.log +sendEnded +service=stock endpoint=e1 outcome=failed/u);
		expect(run.stdout).toMatch(/12 lines were dropped/u);
	});

	test.each([
		[['trace', 'nobody', 'front-1.log'], 1, /no line names request nobody among 7 log lines/u],
		[['trace', 'abc', 'absent.log'], 1, /log absent\.log can't be read \(ENOENT\)/u],
		[['trace'], 2, /Not enough non-option arguments/u],
	] as const)('%j exits with code %i', async (args, code, text) => {
		const run = await fixture.run([...args]);
		expect(run.stderr).toMatch(text);
		expect(run.code).toBe(code);
	});
});
