import {formatIntent} from '@filbertwell/intent/printIntent';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {
	createCliFixture, createMember, smallIntent, createEntryState, type CliFixture,
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

const serveMembers = (version: number, ids: readonly string[] = ['entry-1']) => {
	const [first, ...rest] = ids.map(id => createMember(id, version));
	fixture.setAdminHandler(() => ({status: 200, body: JSON.stringify(createEntryState([first!, ...rest]))}));
};

test('apply, drain, undrain, shift and rollback each create a version that history lists', async () => {
	expect(await runJson(['apply', 'intent.json', '--change-id', 'first'])).toMatchObject({code: 0, data: {version: 1, changeId: 'first'}});
	expect(await runJson(['drain', 'zone', 'south-a', '--reason', 'works'])).toMatchObject({code: 0, data: {version: 2, changes: [{kind: 'added', path: 'drains.availabilityZone/south-a'}]}});
	expect(await runJson(['undrain', 'zone', 'south-a'])).toMatchObject({code: 0, data: {version: 3, changes: [{kind: 'removed'}]}});
	expect(await runJson(['shift', 'orders', 'north', '0.5'])).toMatchObject({code: 0, data: {version: 4, changes: [{path: 'shifts.orders/north'}]}});
	expect(await runJson(['shift', 'orders', 'north', '--end'])).toMatchObject({code: 0, data: {version: 5}});
	expect(await runJson(['rollback', '2'])).toMatchObject({code: 0, data: {version: 6}});
	const history = await runJson(['history', '--limit', '2']);
	expect(history).toMatchObject({code: 0, data: {versions: [{version: 6, author: 'ana'}, {version: 5}]}});
});

test('a change that would leave a service without endpoints is rejected and changes nothing', async () => {
	await fixture.run(['apply', 'intent.json']);
	await fixture.run(['drain', 'zone', 'south-a', '--reason', 'works']);
	const run = await fixture.run(['drain', 'zone', 'north-a', '--reason', 'works']);
	expect(run.code).toBe(1);
	expect(run.stderr).toMatch(/the drains leave service "orders" without any endpoint/v);
	expect(await runJson(['history'])).toMatchObject({data: {versions: [{version: 2}, {version: 1}]}});
});

test('a change based on an outdated version ends with a conflict that lists the accepted changes', async () => {
	await fixture.run(['apply', 'intent.json']);
	await fixture.run(['drain', 'zone', 'south-a', '--reason', 'works']);
	const run = await fixture.run(['shift', 'orders', 'north', '0.5', '--expect', '1']);
	expect(run.code).toBe(3);
	expect(run.stderr).toMatch(/conflict: version 2 by ana was accepted at .*version 1 was expected/v);
	expect(run.stderr).toMatch(/\+ drains\.availabilityZone\/south-a/v);
});

test('a repeated run with the same change id creates no second version', async () => {
	const args = ['apply', 'intent.json', '--change-id', 'once', '--expect', '0'];
	const first = await runJson(args);
	await fixture.run(['drain', 'zone', 'south-a', '--reason', 'works']);
	const second = await runJson(args);
	expect([first.data.version, second.data.version, second.code]).toEqual([1, 1, 0]);
	expect(await runJson(['history'])).toMatchObject({data: {versions: [{version: 2}, {version: 1}]}});
});

test('an unchanged intent creates no version', async () => {
	await fixture.run(['apply', 'intent.json']);
	expect(await runJson(['apply', 'intent.json'])).toMatchObject({code: 0, data: {version: 1, changes: []}});
});

test('with --minimum-version an unchanged intent gets a higher version', async () => {
	await fixture.run(['apply', 'intent.json']);
	expect(await runJson(['apply', 'intent.json', '--minimum-version', '7'])).toMatchObject({code: 0, data: {version: 8, changes: []}});
});

test('an accepted change is offered to the entries', async () => {
	const requestedPaths: string[] = [];
	fixture.setAdminHandler(path => {
		requestedPaths.push(path);
		return {status: 202, body: ''};
	});
	await fixture.run(['apply', 'intent.json']);
	expect(requestedPaths).toEqual(['/configuration/offer']);
});

test('apply rejects a file that lacks accepted drains, unless --remove-drains is given', async () => {
	await fixture.run(['apply', 'intent.json']);
	await fixture.run(['drain', 'zone', 'south-a', '--reason', 'works']);
	const refused = await fixture.run(['apply', 'intent.json']);
	expect(refused.code).toBe(3);
	expect(refused.stderr).toMatch(/would remove drains or shifts .*--remove-drains/v);
	expect(await runJson(['apply', 'intent.json', '--remove-drains'])).toMatchObject({code: 0, data: {version: 3}});
});

test('a dry run shows the changes and applies none', async () => {
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

test('a change is accepted once if the reply to its write is lost', async () => {
	fixture.platform.setFaults([{
		target: 'table', kind: 'lostReply', access: 'write', count: 1,
	}]);
	expect(await runJson(['apply', 'intent.json'])).toMatchObject({code: 0, data: {version: 1}});
	expect(await runJson(['history'])).toMatchObject({data: {versions: [{version: 1}]}});
});

test('a change that fails because all replies are lost can be submitted again with the same change id', async () => {
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
])('with the platform down, $args reports that it is unreachable', async ({args}) => {
	fixture.platform.setFaults([{target: 'table', kind: 'down'}, {target: 'objects', kind: 'down'}]);
	const run = await fixture.run(args);
	expect(run.code).toBe(4);
	expect(run.stderr).toMatch(/platform 127\.0\.0\.1:\d+ gave no usable answer .*check \[platform\]/v);
});

test('apply --wait ends when the version is in force at all live instances', async () => {
	serveMembers(1, ['entry-1', 'entry-2']);
	const run = await fixture.run(['apply', 'intent.json', '--wait', '--timeout', '5']);
	expect(run.code).toBe(0);
	expect(run.stdout).toMatch(/version 1 is in force at 2 of 2 instances/v);
});

test('apply --wait lists a lagging instance and one that no entry reports', async () => {
	fixture.setAdminHandler(() => ({status: 200, body: JSON.stringify(createEntryState([createMember('entry-1', 1), createMember('entry-2', 0)]))}));
	fixture.platform.state.register({
		id: 'entry-3', kind: 'entry', host: '127.0.0.1', port: 3, availabilityZone: 'north-a', state: 'live',
	});
	const run = await fixture.run(['apply', 'intent.json', '--wait', '--timeout', '0']);
	expect(run.code).toBe(6);
	expect(run.stderr).toMatch(/in force at 1 of 3 instances/v);
	expect(run.stderr).toMatch(/entry-2 +south-a +0\n/v);
	expect(run.stderr).toMatch(/entry-3 +north-a +not reported/v);
});

test('a repeated undrain with the same change id succeeds although the drain no longer exists', async () => {
	await fixture.run(['apply', 'intent.json']);
	await fixture.run(['drain', 'zone', 'south-a', '--reason', 'works']);
	const args = ['undrain', 'zone', 'south-a', '--change-id', 'end'];
	await fixture.run(args);
	expect(await runJson(args)).toMatchObject({code: 0, data: {version: 3, changes: []}});
});
