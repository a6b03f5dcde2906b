import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {formatIntent} from '@filbertwell/intent/printIntent';
import {createCliFixture, smallIntent, type CliFixture} from './cliFixture.js';

let fixture: CliFixture;

beforeAll(async () => {
	fixture = await createCliFixture();
	await fixture.writeText('malformed.json', '{"deployment": ');
	await fixture.writeText('unknownKey.json', JSON.stringify({...smallIntent, drain: []}));
	await fixture.writeText('lifetime.json', formatIntent({...smallIntent, lookups: {...smallIntent.lookups, lifetimeSeconds: 0}}));
	await fixture.writeText('badKey.ini', '[platform]\nhost = 127.0.0.1\nport = 7000\n[entries]\nadminAddress = 127.0.0.1:1\n');
	await fixture.writeText('noEntries.ini', '[platform]\nhost = 127.0.0.1\nport = 7000\n');
});

afterAll(async () => {
	await fixture.close();
});

const drainReason = ['--reason', 'works'];

test.concurrent.each([
	{args: [], code: 2, text: /name a command; .*--help/v},
	{args: ['aply', 'intent.json'], code: 2, text: /aply/v},
	{args: ['apply'], code: 2, text: /Not enough non-option arguments/v},
	{args: ['apply', 'intent.json', '--wiat'], code: 2, text: /Unknown argument: wiat/v},
	{args: ['apply', 'intent.json', '--timeout', 'soon'], code: 2, text: /--timeout NaN is not a valid duration/v},
	{args: ['apply', 'intent.json', '--expect', '1.5'], code: 2, text: /--expect 1\.5 is not a valid version/v},
	{args: ['check', 'absent.json'], code: 1, text: /intent absent\.json can't be read \(ENOENT\)/v},
	{args: ['check', '.'], code: 1, text: /intent \. can't be read \(EISDIR\)/v},
	{args: ['check', 'malformed.json'], code: 1, text: /malformed JSON/v},
	{args: ['check', 'unknownKey.json'], code: 1, text: /drain = \[\]: unknown key; .*"drains"/v},
	{args: ['check', 'lifetime.json'], code: 1, text: /lookups\.lifetimeSeconds = 0: out of range; use an integer from 1 to 3600/v},
	{args: ['diff', 'malformed.json'], code: 1, text: /malformed JSON/v},
	{args: ['apply', 'unknownKey.json'], code: 1, text: /nothing was changed/v},
	{args: ['drain', 'rack', 'r1', ...drainReason], code: 2, text: /Choices: "endpoint", "zone", "region", "entry"/v},
	{args: ['drain', 'zone', 'south-a'], code: 2, text: /Missing required argument: reason/v},
	{args: ['drain', 'zone', 'south-a', ...drainReason], code: 1, text: /no configuration is accepted yet; apply one with/v},
	{args: ['undrain', 'zone'], code: 2, text: /Not enough non-option arguments/v},
	{args: ['shift', 'orders', 'north'], code: 2, text: /give either a share from 0 to 1 or --end/v},
	{args: ['shift', 'orders', 'north', '1.5'], code: 2, text: /share 1\.5 is out of range/v},
	{args: ['shift', 'orders', 'north', 'half'], code: 2, text: /share NaN is out of range/v},
	{args: ['history', '--limit', '0'], code: 2, text: /--limit 0 is out of range; use an integer from 1 to 1000/v},
	{args: ['rollback', 'x'], code: 2, text: /version NaN is not a valid version/v},
	{args: ['rollback', '9'], code: 1, text: /no configuration is accepted yet/v},
	{args: ['explain', '--service', 'orders', '--address', 'localhost'], code: 2, text: /--address localhost is not an IP address/v},
	{args: ['explain', '--service', 'orders', '--address', '127.0.0.1', '--path', 'x'], code: 2, text: /--path x does not start with/v},
	{args: ['status', '--settings', 'absent.ini'], code: 1, text: /absent\.ini: the file can't be read \(ENOENT\)/v},
	{args: ['status', '--settings', 'badKey.ini'], code: 1, text: /badKey\.ini: \[entries\] adminAddress = .*unknown key; .*"adminAddresses"/v},
	{args: ['status', '--settings', 'noEntries.ini'], code: 1, text: /\[entries\] adminAddresses is empty/v},
])('filbertwell $args exits with code $code', async ({args, code, text}) => {
	const run = await fixture.run(args);
	expect(run.stderr).toMatch(text);
	expect(run.stderr).not.toMatch(/internal error/v);
	expect(run.code).toBe(code);
	expect(run.stdout).toBe('');
});

test('with --json a failure is printed as one document on standard output', async () => {
	const run = await fixture.run(['check', 'lifetime.json', '--json']);
	expect(run.code).toBe(1);
	expect(run.stderr).toBe('');
	expect(JSON.parse(run.stdout)).toMatchObject({error: {kind: 'invalidInput', data: [{path: 'lookups.lifetimeSeconds', value: '0'}]}});
});

test('a closed standard output changes neither the exit code nor standard error', async () => {
	expect(await fixture.runWithClosedStdout(['check', 'intent.json'])).toEqual({code: 0, stderr: ''});
});

test('an intent is read from standard input', async () => {
	const run = await fixture.run(['check', '-'], formatIntent(smallIntent));
	expect(run).toMatchObject({code: 0, stderr: ''});
	expect(run.stdout).toMatch(/small: no problems/v);
});
