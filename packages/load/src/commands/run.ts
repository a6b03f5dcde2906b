/**
 * `filbertwell-load run`: generates load and prints outcomes and latencies.
 */
import process from 'node:process';
import {requestClasses, type RequestClass} from '@filbertwell/types/intent';
import type {SocketAddress} from '@filbertwell/types/place';
import type {CommandModule} from 'yargs';
import {defaultLoadPlan, type LoadPlan} from '../loadPlan.js';
import {runLoad, type LoadResult} from '../runLoad.js';

type RunArguments = {
	readonly entry: readonly string[];
	readonly service: string;
	readonly path: string;
	readonly method: string;
	readonly order: boolean;
	readonly class: RequestClass;
	readonly rate: number;
	readonly seconds: number;
	readonly deadline: number;
	readonly body: number;
	readonly tenant: string;
	readonly fixed: boolean;
	readonly seed: number;
	readonly json: boolean;
};

const millisecondsPerSecond = 1000;

const parseAddress = (text: string): SocketAddress => {
	const separator = text.lastIndexOf(':');
	const port = Number(text.slice(separator + 1));
	if (separator <= 0 || !Number.isInteger(port) || port < 1 || port > 65_535) {
		throw new Error(`--entry "${text}": not an address; use HOST:PORT, such as 127.0.0.1:8080`);
	}

	return {host: text.slice(0, separator), port};
};

const createPlan = (options: RunArguments): LoadPlan => ({
	...defaultLoadPlan,
	entries: options.entry.map(entry => parseAddress(entry)),
	entryChoice: options.fixed ? 'fixed' : 'lookup',
	routes: [{
		name: options.order ? 'order' : 'read',
		service: options.service,
		method: options.method,
		path: options.path,
		kind: options.order ? 'atMostOnce' : 'idempotent',
		requestClass: options.class,
		weight: 1,
		bodyBytes: options.body,
		deadlineMs: options.deadline,
	}],
	tenants: [{name: options.tenant, weight: 1}],
	requestsPerSecond: options.rate,
	durationMs: options.seconds * millisecondsPerSecond,
	seed: options.seed,
});

const printResult = ({requests, outcomes, latencies, attemptsPerRequest}: LoadResult): void => {
	process.stdout.write(`requests ${requests}, attempts per request ${attemptsPerRequest.toFixed(3)}\n`);
	for (const [outcome, count] of Object.entries(outcomes)) {
		process.stdout.write(`  ${outcome}: ${count}\n`);
	}

	for (const [name, {count, p50Ms, p95Ms, p99Ms, maximumMs}] of Object.entries(latencies)) {
		process.stdout.write(`${name}: ${count} answered, p50 ${p50Ms} ms, p95 ${p95Ms} ms, p99 ${p99Ms} ms, maximum ${maximumMs} ms\n`);
	}
};

/** Command definition of `run`. */
export const runCommand: CommandModule<unknown, RunArguments> = {
	command: 'run',
	describe: 'Send requests at a fixed mean rate and print latencies from their intended starts',
	builder: yargs => yargs
		.option('entry', {
			type: 'string', array: true, demandOption: true, describe: 'Address of an entry, HOST:PORT; may be repeated',
		})
		.option('service', {type: 'string', demandOption: true, describe: 'Service for look-ups'})
		.option('path', {type: 'string', demandOption: true, describe: 'Path of the request, with the path prefix of the service'})
		.option('method', {type: 'string', default: 'GET', describe: 'HTTP method'})
		.option('order', {type: 'boolean', default: false, describe: 'Send at-most-once requests with an Idempotency-Key and resend them until they are answered'})
		.option('class', {choices: requestClasses, default: 'interactive' as const, describe: 'Request class that latencies are reported under'})
		.option('rate', {type: 'number', default: 50, describe: 'Requests per second'})
		.option('seconds', {type: 'number', default: 10, describe: 'Duration of the load in seconds'})
		.option('deadline', {type: 'number', default: 2000, describe: 'Deadline of each request in milliseconds'})
		.option('body', {type: 'number', default: 0, describe: 'Size of each request\'s body in bytes'})
		.option('tenant', {type: 'string', default: 'default', describe: 'Tenant of the requests'})
		.option('fixed', {type: 'boolean', default: false, describe: 'Select one of the given entries at random, without look-ups'})
		.option('seed', {type: 'number', default: 1, describe: 'Seed of the random numbers'})
		.option('json', {type: 'boolean', default: false, describe: 'Print the result as one line of JSON'})
		.example('$0 run --entry 127.0.0.1:8080 --service inventory --path /inventory/items/1 --rate 200', 'Send reads for ten seconds'),
	async handler(options) {
		const result = await runLoad(createPlan(options));
		if (options.json) {
			const {records, ...figures} = result;
			process.stdout.write(`${JSON.stringify(figures)}\n`);
			return;
		}

		printResult(result);
	},
};
