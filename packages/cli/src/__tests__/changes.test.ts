import {formatIntent} from '@filbertwell/intent/printIntent';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {
	createCliFixture, memberAt, smallIntent, stateOf, type CliFixture,
} from './cliFixture.js';

let fixture: CliFixture;

beforeEach(async () => {
	fixture = await createCliFixture();
});

afterEach(async () => {
	await fixture.close();
});

const runJson = async (args: readonly string[]) => {
	const run = await fixture.run([...args, '--json']);
	return {code: run.code, data: JSON.parse(run.stdout) as Record<string, unknown>};
};

const showEntry = (version: number, ids: readonly string[] = ['entry-1']) => {
	const [first, ...rest] = ids.map(id => memberAt(id, version));
	fixture.setAdmin(() => ({status: 200, body: JSON.stringify(stateOf([first!, ...rest]))}));
};

test('a change goes through apply, drain, undrain, shift, rollback and history', async () => {
	expect(await runJson(['apply', 'intent.json', '--change-id', 'first'])).toMatchObject({code: 0, data: {version: 1, changeId: 'first'}});
	expect(await runJson(['drain', 'zone', 'south-a', '--reason', 'works'])).toMatchObject({code: 0, data: {version: 2, changes: [{kind: 'added', path: 'drains.availabilityZone/south-a'}]}});
	expect(await runJson(['undrain', 'zone', 'south-a'])).toMatchObject({code: 0, data: {version: 3, changes: [{kind: 'removed'}]}});
	expect(await runJson(['shift', 'orders', 'north', '0.5'])).toMatchObject({code: 0, data: {version: 4, changes: [{path: 'shifts.orders/north'}]}});
	expect(await runJson(['shift', 'orders', 'north', '--end'])).toMatchObject({code: 0, data: {version: 5}});
	expect(await runJson(['rollback', '2'])).toMatchObject({code: 0, data: {version: 6}});
	const history = await runJson(['history', '--limit', '2']);
	expect(history).toMatchObject({code: 0, data: {versions: [{version: 6, author: 'ana'}, {version: 5}]}});
});

test('a change that would leave a service nowhere is refused and changes nothing', async () => {
	await fixture.run(['apply', 'intent.json']);
	await fixture.run(['drain', 'zone', 'south-a', '--reason', 'works']);
	const run = await fixture.run(['drain', 'zone', 'north-a', '--reason', 'works']);
	expect(run.code).toBe(1);
	expect(run.stderr).toMatch(/the drains leave service "orders" without any endpoint/v);
	expect(await runJson(['history'])).toMatchObject({data: {versions: [{version: 2}, {version: 1}]}});
});

test('the second of two operators gets a conflict with what the first changed', async () => {
	await fixture.run(['apply', 'intent.json']);
	await fixture.run(['drain', 'zone', 'south-a', '--reason', 'works']);
	const run = await fixture.run(['shift', 'orders', 'north', '0.5', '--expect', '1']);
	expect(run.code).toBe(3);
	expect(run.stderr).toMatch(/conflict: version 2 by ana was accepted at .*version 1 was expected/v);
	expect(run.stderr).toMatch(/\+ drains\.availabilityZone\/south-a/v);
});

test('a run repeated with its change id changes nothing again', async () => {
	const args = ['apply', 'intent.json', '--change-id', 'once', '--expect', '0'];
	const first = await runJson(args);
	await fixture.run(['drain', 'zone', 'south-a', '--reason', 'works']);
	const again = await runJson(args);
	expect([first.data.version, again.data.version, again.code]).toEqual([1, 1, 0]);
	expect(await runJson(['history'])).toMatchObject({data: {versions: [{version: 2}, {version: 1}]}});
});

test('an intent that changes nothing makes no version', async () => {
	await fixture.run(['apply', 'intent.json']);
	expect(await runJson(['apply', 'intent.json'])).toMatchObject({code: 0, data: {version: 1, changes: []}});
});

test('with --minimum-version the same intent gets a higher version', async () => {
	await fixture.run(['apply', 'intent.json']);
	expect(await runJson(['apply', 'intent.json', '--minimum-version', '7'])).toMatchObject({code: 0, data: {version: 8, changes: []}});
});

test('an accepted change is offered to the entries', async () => {
	const asked: string[] = [];
	fixture.setAdmin(path => {
		asked.push(path);
		return {status: 202, body: ''};
	});
	await fixture.run(['apply', 'intent.json']);
	expect(asked).toEqual(['/configuration/offer']);
});

test('apply keeps accepted drains that its file does not know of, unless told otherwise', async () => {
	await fixture.run(['apply', 'intent.json']);
	await fixture.run(['drain', 'zone', 'south-a', '--reason', 'works']);
	const refused = await fixture.run(['apply', 'intent.json']);
	expect(refused.code).toBe(3);
	expect(refused.stderr).toMatch(/would remove drains or shifts .*--remove-drains/v);
	expect(await runJson(['apply', 'intent.json', '--remove-drains'])).toMatchObject({code: 0, data: {version: 3}});
});

test('a dry run shows the changes and makes none', async () => {
	await fixture.run(['apply', 'intent.json']);
	const run = await fixture.run(['shift', 'orders', 'north', '0.5', '--dry-run']);
	expect(run).toMatchObject({code: 0, stderr: ''});
	expect(run.stdout).toMatch(/\+ shifts\.orders\/north .*\ndry run: nothing was changed/v);
	expect(await runJson(['history'])).toMatchObject({data: {versions: [{version: 1}]}});
});

test('diff compares with the accepted intent', async () => {
	await fixture.run(['apply', 'intent.json']);
	await fixture.writeText('next.json', formatIntent({...smallIntent, lookups: {...smallIntent.lookups, lifetimeSeconds: 9}}));
	const run = await fixture.run(['diff', 'next.json']);
	expect(run.stdout).toMatch(/against version 1 by ana:\n~ lookups\.lifetimeSeconds: 5 -> 9/v);
});

test('a lost reply is settled: the change is accepted once', async () => {
	fixture.platform.setFaults([{
		target: 'table', kind: 'lostReply', access: 'write', count: 1,
	}]);
	expect(await runJson(['apply', 'intent.json'])).toMatchObject({code: 0, data: {version: 1}});
	expect(await runJson(['history'])).toMatchObject({data: {versions: [{version: 1}]}});
});

test('an outcome that stays unknown says how to run the command again, and that run is safe', async () => {
	fixture.platform.setFaults([{target: 'table', kind: 'lostReply'}]);
	const first = await runJson(['rollback', '1', '--change-id', 'again']);
	expect(first.code).toBe(4);
	fixture.platform.setFaults([]);
	expect(await runJson(['apply', 'intent.json', '--change-id', 'again', '--expect', '0'])).toMatchObject({code: 0, data: {version: 1}});
});

test.each([
	{args: ['apply', 'intent.json']},
	{args: ['diff', 'intent.json']},
	{args: ['drain', 'zone', 'south-a', '--reason', 'works']},
	{args: ['history']},
	{args: ['rollback', '1']},
])('with the platform down, $args says so and changes nothing', async ({args}) => {
	fixture.platform.setFaults([{target: 'table', kind: 'down'}, {target: 'objects', kind: 'down'}]);
	const run = await fixture.run(args);
	expect(run.code).toBe(4);
	expect(run.stderr).toMatch(/platform 127\.0\.0\.1:\d+ gave no usable answer .*check \[platform\]/v);
});

test('apply --wait ends once all live instances have the version', async () => {
	showEntry(1, ['entry-1', 'entry-2']);
	const run = await fixture.run(['apply', 'intent.json', '--wait', '--timeout', '5']);
	expect(run.code).toBe(0);
	expect(run.stdout).toMatch(/version 1 is in force at 2 of 2 instances/v);
});

test('apply --wait names an instance that lags and one that no entry has heard of', async () => {
	fixture.setAdmin(() => ({status: 200, body: JSON.stringify(stateOf([memberAt('entry-1', 1), memberAt('entry-2', 0)]))}));
	fixture.platform.state.register({
		id: 'entry-3', kind: 'entry', host: '127.0.0.1', port: 3, availabilityZone: 'north-a', state: 'live',
	});
	const run = await fixture.run(['apply', 'intent.json', '--wait', '--timeout', '0']);
	expect(run.code).toBe(6);
	expect(run.stderr).toMatch(/in force at 1 of 3 instances/v);
	expect(run.stderr).toMatch(/entry-2 +south-a +0\n/v);
	expect(run.stderr).toMatch(/entry-3 +north-a +not heard of/v);
});

test('an undrain repeated with its change id is not an error, though the drain is gone', async () => {
	await fixture.run(['apply', 'intent.json']);
	await fixture.run(['drain', 'zone', 'south-a', '--reason', 'works']);
	const args = ['undrain', 'zone', 'south-a', '--change-id', 'end'];
	await fixture.run(args);
	expect(await runJson(args)).toMatchObject({code: 0, data: {version: 3, changes: []}});
});
