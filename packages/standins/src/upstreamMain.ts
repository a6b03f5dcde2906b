#!/usr/bin/env node
/**
 * `filbertwell-standin-upstream`: runs many upstream endpoints in one process, for tests and demos.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {createLogger} from '@filbertwell/logger/logger';
import {standinsEvents} from '@filbertwell/logger/events/standinsEvents';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import * as z from 'zod';
import {serviceTimeSchema} from './serviceTime.js';
import {createUpstreamControl} from './upstreamControl.js';
import {createUpstreamLedger} from './upstreamLedger.js';
import {createUpstreamStandin, defaultUpstreamBehaviour} from './upstreamStandin.js';

const endpointSchema = z.object({
	id: z.string().min(1),
	service: z.string().optional(),
	host: z.string(),
	port: z.number().int().min(0).max(65_535),
	availabilityZone: z.string(),
	slots: z.number().int().positive(),
	serviceTimeMs: serviceTimeSchema.optional(),
	queueLimit: z.number().int().nonnegative().optional(),
	responseBytes: z.number().int().nonnegative().optional(),
	connectionLimit: z.number().int().positive().optional(),
	cancellable: z.boolean().optional(),
});

type EndpointEntry = z.infer<typeof endpointSchema>;

const log = createLogger('standins');

const parseArguments = async () => yargs(hideBin(process.argv))
	.scriptName('filbertwell-standin-upstream')
	.usage('$0 --endpoints FILE.json --control-port N [--seed N]')
	.option('endpoints', {type: 'string', demandOption: true, describe: 'JSON array of endpoints: id, host, port, availabilityZone, slots, and optionally serviceTimeMs, queueLimit, responseBytes'})
	.option('control-host', {type: 'string', default: '127.0.0.1', describe: 'IP address of the control port'})
	.option('control-port', {type: 'number', demandOption: true, describe: 'Port that serves faults, ledger and statistics'})
	.option('seed', {type: 'number', default: 1, describe: 'Seed of service times and faults'})
	.strict()
	.parse();

const withoutUndefined = <Value extends Record<string, unknown>>(value: Value): Partial<Value> =>
	Object.fromEntries(Object.entries(value).filter(([, field]) => field !== undefined)) as Partial<Value>;

const behaviourOf = ({serviceTimeMs, queueLimit, responseBytes, connectionLimit, cancellable}: EndpointEntry) => ({
	...defaultUpstreamBehaviour,
	...withoutUndefined({
		serviceTimeMs, queueLimit, responseBytes, connectionLimit, cancellable,
	}),
});

const readEndpoints = async (file: string): Promise<EndpointEntry[]> => {
	const parsed = z.array(endpointSchema).safeParse(JSON.parse(await readFile(file, 'utf8')));
	if (!parsed.success) {
		throw new Error(`--endpoints ${file}: ${z.prettifyError(parsed.error)}`);
	}

	return parsed.data;
};

const options = await parseArguments();
const clock = monotonicClock;
const ledger = createUpstreamLedger(clock);
const endpoints = await readEndpoints(options.endpoints);
const upstreams = await Promise.all(endpoints.map(async (endpoint, index) => createUpstreamStandin({
	endpoint,
	behaviour: behaviourOf(endpoint),
	clock,
	random: createRandom((options.seed * 1009) + index),
	ledger,
})));
const control = await createUpstreamControl({
	host: options.controlHost, port: options.controlPort, upstreams, ledger, clock,
});
log(standinsEvents.upstreamsListening, {endpoints: upstreams.length, controlPort: control.port});

const stop = async (): Promise<void> => {
	await Promise.all(upstreams.map(async upstream => upstream.stop()));
	await control.stop();
};

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.once(signal, () => {
		void stop();
	});
}
