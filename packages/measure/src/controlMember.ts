/**
 * Child process of the experiment `control-cost`: runs the control plane of several members without
 * the request path and reports its resource usage over the IPC channel. Its arguments are settings files.
 */
import process from 'node:process';
import {startControlPlane, type ControlPlane} from '@filbertwell/entry/controlPlane';
import {startRegistration, type Registration} from '@filbertwell/entry/instanceRegistration';
import {silentLogger} from '@filbertwell/logger/logger';
import {createMetrics} from '@filbertwell/metrics/createMetrics';
import {loadLookupSettings} from '@filbertwell/settings/lookupSettings';
import {monotonicClock as clock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import type {ControlCommand, ControlUsage} from './controlUsage.js';
import {heapInUse} from './heapInUse.js';

type RunningMember = {
	readonly control: ControlPlane;
	readonly registration: Registration;
};

const microsecondsPerMillisecond = 1000;

const startMember = async (file: string, seed: number): Promise<RunningMember> => {
	const settings = loadLookupSettings(file)._unsafeUnwrap();
	const random = createRandom(seed);
	const control = await startControlPlane({
		settings, role: 'entry', callerAddress: settings.callers, clock, random, metrics: createMetrics({maximumLabelSets: 1}),
	});
	const {id, availabilityZone} = settings.process;
	const registration = startRegistration({
		instances: control.platform.instances,
		instance: {
			id, kind: 'entry', host: settings.peers.host, port: control.channel.address.port, availabilityZone,
		},
		random,
		log: silentLogger,
	});
	control.membership.announceState('serving');
	return {control, registration};
};

const files = process.argv.slice(2);
const heapBefore = heapInUse();
const members = await Promise.all(files.map(async (file, index) => startMember(file, process.pid + index)));

const sum = (read: (member: RunningMember) => number): number => {
	let total = 0;
	for (const member of members) {
		total += read(member);
	}

	return total;
};

const minimum = (read: (member: RunningMember) => number): number => Math.min(...members.map(member => read(member)));

const readUsage = (): ControlUsage => {
	const {user, system} = process.cpuUsage();
	return {
		cpuMs: (user + system) / microsecondsPerMillisecond,
		datagramBytes: sum(({control}) => control.channel.traffic().datagramBytesIn + control.channel.traffic().datagramBytesOut),
		datagrams: sum(({control}) => control.channel.traffic().datagramsIn + control.channel.traffic().datagramsOut),
		rpcBytes: sum(({control}) => control.channel.traffic().rpcBytesIn + control.channel.traffic().rpcBytesOut),
		knownMembers: minimum(({control}) => control.membership.members().filter(({health, state}) => health === 'alive' && state === 'serving').length),
		version: minimum(({control}) => control.follower.current()?.version ?? 0),
		heapBytes: 0,
		rssBytes: process.memoryUsage().rss,
	};
};

const stop = async () => {
	await Promise.all(members.map(async ({control, registration}) => {
		await registration.remove();
		await control.stop();
	}));
	process.disconnect();
};

process.on('message', (command: ControlCommand) => {
	switch (command) {
		case 'usage': {
			process.send!(readUsage());
			break;
		}

		case 'heap': {
			process.send!({...readUsage(), heapBytes: heapInUse() - heapBefore});
			break;
		}

		case 'stop': {
			void stop();
			break;
		}
	}
});
