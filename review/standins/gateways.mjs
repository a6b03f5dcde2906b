/* eslint-disable camelcase -- names of the pages */
/**
 * Starts the gateways as separate processes with the command and the template of the deploy file, as the platform does.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {createSocket} from 'node:dgram';
import {
	closeSync, openSync, readFileSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

export const repository = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

const restartDelayMs = 500;
const portsPerGateway = 5;

/** Bounds of a small deployment, as the pages list them for Sugarloaf. */
export const bounds = {
	contact_s: 3, drain_s: 2, grace_s: 6, config_apply_s: 2, retry_budget_ratio: 0.2, budget_window_s: 10, budget_extra: 56, shift_most: 0.15, ttl_max_s: 5, evacuate_s: 5,
};

const valueOf = (fields, name) => {
	let value = fields;
	for (const part of name.split('.')) {
		value = value?.[part];
	}

	return value;
};

/** Fills in the parts of the platform's template language that `deploy/gateway.ini` uses. */
const render = (template, fields) => template
	.replaceAll(/\{\{#(?<name>[\w.]+)\}\}(?<content>.*?)\{\{\/\k<name>\}\}/gu, (_, name, content) => {
		const entries = Object.entries(valueOf(fields, name));
		return entries.map(([key, value], index) => content
			.replaceAll('{{@}}', key)
			.replaceAll('{{.}}', String(value))
			.replaceAll('{{,}}', index + 1 < entries.length ? ',' : '')).join('');
	})
	.replaceAll(/\{\{(?<name>[\w.]+)\}\}/gu, (_, name) => String(valueOf(fields, name) ?? ''));

const renamedFields = () => Object.fromEntries([...readFileSync(path.join(repository, 'deploy/wire.toml'), 'utf8')
	.matchAll(/^(?<name>\w+) = "(?<own>\w+)"$/gmu)].map(({groups}) => [groups.name, groups.own]));

const freePorts = async host => {
	const opened = [];
	while (opened.length < portsPerGateway) {
		const server = createServer().listen(0, host);
		await once(server, 'listening'); // eslint-disable-line no-await-in-loop
		const {port} = server.address();
		const datagrams = createSocket('udp4');
		datagrams.bind(port, host);
		await once(datagrams, 'listening'); // eslint-disable-line no-await-in-loop
		opened.push({server, datagrams, port});
	}

	for (const {server, datagrams} of opened) {
		server.close();
		datagrams.close();
	}

	return opened.map(({port}) => port);
};

const runCommand = () => {
	const [, command] = /^run = "(?<command>.*)"$/mu.exec(readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8'));
	return command.split(' ');
};

/**
 * Starts a gateway. If its process ends by itself, it is started again after a short delay.
 *
 * @param options - Record, folder for settings and logs, name, place, zones with their regions, loopback address of the
 * instance, address of the store.
 * @returns The running gateway.
 */
export const startGateway = async ({record, folder, name, zone, zones, host, storeAddress}) => {
	const [callers, ready, lookups, peers, metrics] = await freePorts(host);
	const settingsFile = path.join(folder, `${name}.ini`);
	const logFile = path.join(folder, `${name}.log`);
	const template = readFileSync(path.join(repository, 'deploy/gateway.ini'), 'utf8').replace('9464', String(metrics));
	const renamed = renamedFields();
	const [command, ...commandArguments] = runCommand();
	const gateway = {
		name, zone, callers: `${host}:${callers}`, ready: `${host}:${ready}`, lookups: `${host}:${lookups}`, ownEnds: 0, isStopped: false, startedAtMs: 0, child: undefined,
	};

	const start = isFirst => {
		writeFileSync(settingsFile, render(template, {
			node_name: name, region: zones[zone], zone, zones, bootstrap: isFirst, ip: host,
			limits: {cpu_share: 0.54, cores: 1},
			listen: {frontend: gateway.callers, ready: gateway.ready, directory: gateway.lookups},
			internal_ports: [peers, peers],
			platform: {address: storeAddress, row_bytes: 65_536},
			bounds: Object.fromEntries(Object.entries(bounds).map(([field, value]) => [renamed[field] ?? field, value])),
		}));
		const log = openSync(logFile, 'a');
		const child = spawn(command === 'node' ? process.execPath : command, commandArguments, {
			cwd: repository,
			env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, FILBERTWELL_CONFIG: settingsFile,
			},
			stdio: ['ignore', log, log],
		});
		closeSync(log);
		gateway.child = child;
		gateway.startedAtMs = performance.now();
		record('start', {instance: name, pid: child.pid});
		child.once('exit', (code, signal) => {
			record('exit', {instance: name, code, signal});
			if (!gateway.isStopped) {
				gateway.ownEnds += 1;
				setTimeout(() => {
					if (!gateway.isStopped) {
						start(false);
					}
				}, restartDelayMs);
			}
		});
	};

	start(true);
	return Object.assign(gateway, {
		/** Removes the instance for good, without SIGTERM. */
		remove() {
			gateway.isStopped = true;
			gateway.child.kill('SIGKILL');
			record('removed', {instance: name});
		},
		isRunning: () => gateway.child.exitCode === null && gateway.child.signalCode === null,
		log: () => readFileSync(logFile, 'utf8'),
	});
};

/** Body of a response as text. */
export const fetchText = async (address, target) => {
	const response = await fetch(`http://${address}${target}`, {signal: AbortSignal.timeout(1000)});
	return {status: response.status, text: Buffer.from(await response.arrayBuffer()).toString('utf8')};
};
