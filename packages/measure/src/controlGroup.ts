/**
 * Starts members that run control alone, some in each process.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {entrySettingsText} from '@filbertwell/harness/entrySettingsFile';
import {findFreePorts} from '@filbertwell/harness/freePorts';
import type {SocketAddress} from '@filbertwell/types/place';
import type {ControlCommand, ControlUsage} from './controlUsage.js';

/** What to start. */
export type ControlGroupOptions = {
	readonly members: number;
	readonly membersPerProcess: number;
	readonly platform: SocketAddress;
	/** Further lines of every member's settings. */
	readonly settings?: readonly string[];
};

/** Running members. */
export type ControlGroup = {
	/** Asks each process; one result for each. */
	readonly ask: (command: Exclude<ControlCommand, 'stop'>) => Promise<readonly ControlUsage[]>;
	readonly stop: () => Promise<void>;
};

const program = fileURLToPath(new URL('controlMember.js', import.meta.url));
const host = '127.0.0.1';
const availabilityZones = 24;
const regions = 11;
const seeds = 3;
const stopTimeoutMs = 5000;

const askChild = async (child: ChildProcess, command: ControlCommand): Promise<ControlUsage> => {
	const answered = once(child, 'message') as Promise<[ControlUsage]>;
	child.send(command);
	const [usage] = await answered;
	return usage;
};

const stopChild = async (child: ChildProcess): Promise<void> => {
	if (child.exitCode !== null || child.signalCode !== null) {
		return;
	}

	const exited = once(child, 'exit');
	child.send('stop' satisfies ControlCommand);
	const killAfterTimeout = setTimeout(() => {
		child.kill('SIGKILL');
	}, stopTimeoutMs);
	await exited;
	clearTimeout(killAfterTimeout);
};

/**
 * Starts members.
 *
 * @param options - How many, and the platform.
 * @returns The running members; they need some time to find each other.
 */
export const startControlGroup = async ({members, membersPerProcess, platform, settings = []}: ControlGroupOptions): Promise<ControlGroup> => {
	const directory = await mkdtemp(path.join(os.tmpdir(), 'filbertwell-control-'));
	const ports = await findFreePorts(members);
	const seedAddresses = ports.slice(0, seeds).map(port => ({host, port}));
	const files = await Promise.all(ports.map(async (port, index) => {
		const zone = index % availabilityZones;
		const file = path.join(directory, `member-${index}.ini`);
		await writeFile(file, entrySettingsText({
			id: `member-${String(index).padStart(4, '0')}`,
			region: `region-${zone % regions}`,
			availabilityZone: `zone-${zone}`,
			callers: {host, port: 1 + index},
			admin: {host, port: 0},
			peers: {host, port},
			platform,
			seeds: seedAddresses,
			extraLines: settings,
		}));
		return file;
	}));
	const children = Array.from({length: Math.ceil(members / membersPerProcess)}, (_, index) => fork(
		program,
		files.slice(index * membersPerProcess, (index + 1) * membersPerProcess),
		{stdio: ['ignore', 'ignore', 'inherit', 'ipc']},
	));

	return {
		ask: async command => Promise.all(children.map(async child => askChild(child, command))),
		async stop() {
			await Promise.all(children.map(async child => stopChild(child)));
			await rm(directory, {recursive: true, force: true});
		},
	};
};
