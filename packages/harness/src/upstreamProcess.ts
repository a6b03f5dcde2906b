/**
 * Starts the upstream stand-ins of a deployment, one process for each availability zone.
 */
import {createRequire} from 'node:module';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import type {Intent} from '@filbertwell/types/intent';
import type {SocketAddress} from '@filbertwell/types/place';
import type {ServiceTime} from '@filbertwell/standins/serviceTime';
import {requestJson} from './httpJson.js';
import {startProcess, type RunningProcess} from './startProcess.js';
import {waitUntil} from './waitUntil.js';

/** Process that runs the upstreams of one availability zone; `control` is the address of its control port. */
export type UpstreamProcess = {
	readonly availabilityZone: string;
	readonly control: SocketAddress;
	readonly process: RunningProcess;
};

/** Zone whose upstreams are started, and their behaviour. */
export type UpstreamSpecification = {
	readonly intent: Intent;
	readonly availabilityZone: string;
	readonly controlPort: number;
	readonly serviceTimeMs: ServiceTime;
	readonly responseBytes: number;
	readonly directory: string;
	readonly seed: number;
};

const startTimeoutMs = 15_000;
const upstreamScript = createRequire(import.meta.url).resolve('@filbertwell/standins/upstreamMain');

const endpointsOf = ({intent, availabilityZone, serviceTimeMs, responseBytes}: UpstreamSpecification) => intent.services
	.flatMap(service => service.endpoints.map(endpoint => ({
		...endpoint, service: service.name, serviceTimeMs, responseBytes,
	})))
	.filter(endpoint => endpoint.availabilityZone === availabilityZone);

/**
 * Starts the upstreams of a zone and waits until they listen.
 *
 * @param specification - Intent, zone and behaviour.
 * @returns The running process.
 * @throws If its control port does not respond within 15 s.
 */
export const startUpstreams = async (specification: UpstreamSpecification): Promise<UpstreamProcess> => {
	const {availabilityZone, controlPort, directory, seed} = specification;
	const file = path.join(directory, `upstreams-${availabilityZone}.json`);
	await writeFile(file, JSON.stringify(endpointsOf(specification)));
	const running = startProcess({
		name: `upstreams-${availabilityZone}`,
		script: upstreamScript,
		arguments: ['--endpoints', file, '--control-port', String(controlPort), '--seed', String(seed)],
		logFile: path.join(directory, `upstreams-${availabilityZone}.log`),
	});
	const control = {host: '127.0.0.1', port: controlPort};
	const isListening = await waitUntil(async () => {
		const answer = await requestJson('GET', `http://127.0.0.1:${controlPort}/statistics`);
		return answer?.status === 200;
	}, startTimeoutMs);
	if (!isListening) {
		running.signal('SIGKILL');
		throw new Error(`the upstreams of ${availabilityZone} did not listen within ${startTimeoutMs} ms; see ${directory}`);
	}

	return {availabilityZone, control, process: running};
};
