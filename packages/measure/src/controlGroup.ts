/**
 * Starts members that run only the control plane, several in each process.
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

/** Number of members to start, their distribution over processes and their settings. */
export type ControlGroupOptions = {
	readonly members: number;
	readonly membersPerProcess: number;
	readonly platform: SocketAddress;
	/** Further lines for the settings file of each member. */
	readonly settings?: readonly string[];
};

/** Processes with running members. */
export type ControlGroup = {
	/** Sends a command to each process and returns one reply per process. */
	readonly query: (command: Exclude<ControlCommand, 'stop'>) => Promise<readonly ControlUsage[]>;
	readonly stop: () => Promise<void>;
};

const memberScript = fileURLToPath(new URL('controlMember.js', import.meta.url));
const host = '127.0.0.1';
const availabilityZones = 24;
const regions = 11;
const seeds = 3;
const stopTimeoutMs = 5000;

const sendCommand = async (child: ChildProcess, command: ControlCommand): Promise<ControlUsage> => {
	const reply = once(child, 'message') as Promise<[ControlUsage]>;
	child.send(command);
	const [usage] = await reply;
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
 * Starts members in child processes.
 *
 * @param options - Number of members, members in each process, platform and settings.
 * @returns The started members. They have not discovered each other yet when this function returns.
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
		memberScript,
		files.slice(index * membersPerProcess, (index + 1) * membersPerProcess),
		{stdio: ['ignore', 'ignore', 'inherit', 'ipc']},
	));

	return {
		query: async command => Promise.all(children.map(async child => sendCommand(child, command))),
		async stop() {
			await Promise.all(children.map(async child => stopChild(child)));
			await rm(directory, {recursive: true, force: true});
		},
	};
};
