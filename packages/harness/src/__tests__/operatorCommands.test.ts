import {execFile} from 'node:child_process';
import {writeFile} from 'node:fs/promises';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';
import {formatIntent} from '@filbertwell/intent/printIntent';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {operatorSettingsText} from '../operatorSettingsFile.js';
import {startDeployment, type Deployment} from '../startDeployment.js';

const main = createRequire(import.meta.url).resolve('@filbertwell/cli/main');
const run = promisify(execFile);

let deployment: Deployment;

const filbertwell = async (...args: string[]) => {
	const {stdout} = await run(process.execPath, [main, ...args, '--json'], {cwd: deployment.directory});
	return JSON.parse(stdout) as Record<string, unknown>;
};

beforeAll(async () => {
	deployment = await startDeployment({entries: 2});
	await writeFile(path.join(deployment.directory, 'filbertwell.ini'), operatorSettingsText(deployment));
	const {lookups} = deployment.intent();
	await writeFile(path.join(deployment.directory, 'next.json'), formatIntent({...deployment.intent(), lookups: {...lookups, lifetimeSeconds: 4}}));
}, 60_000);

afterAll(async () => {
	await deployment.stop();
}, 30_000);

test('status reports the state of running entries', async () => {
	expect(await filbertwell('status')).toMatchObject({
		accepted: {version: 1}, members: [{id: 'entry-1', state: 'serving'}, {id: 'entry-2', state: 'serving'}], unanswered: [],
	});
});

test('explain reports the explanation of a running entry', async () => {
	const {steps} = await filbertwell('explain', '--service', 'orders', '--address', '127.1.0.5', '--method', 'POST');
	expect(steps).toEqual(expect.arrayContaining([
		expect.objectContaining({decision: 'clientBlock', choice: '127.1.0.0/16'}),
		expect.objectContaining({decision: 'route', choice: 'place-order'}),
	]));
});

test('apply --wait and drain --wait return when running entries have the version in force, and status shows the drain', async () => {
	expect(await filbertwell('apply', 'next.json', '--wait')).toMatchObject({version: 2, inForce: {lagging: []}});
	expect(await filbertwell('drain', 'zone', 'south-a', '--reason', 'works', '--wait')).toMatchObject({version: 3, inForce: {lagging: []}});
	expect(await filbertwell('status')).toMatchObject({
		members: [{configurationVersion: 3}, {configurationVersion: 3}],
		drains: [{target: 'availabilityZone', name: 'south-a', reason: 'works'}],
	});
	expect(await filbertwell('undrain', 'zone', 'south-a', '--wait')).toMatchObject({version: 4, inForce: {lagging: []}});
});
