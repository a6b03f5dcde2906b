#!/usr/bin/env node
/**
 * `filbertwell-standin-platform`: serves the platform's services from memory, for tests and demos.
 */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {faultCommandSchema} from './platformFaultCommand.js';
import {createPlatformStandin} from './platformStandin.js';

const parseFaults = (text: string) => {
	try {
		return faultCommandSchema.parse(JSON.parse(text));
	} catch (error) {
		throw new Error(`--faults: ${(error as Error).message}; give JSON such as '{"faults":[{"target":"table","kind":"down"}],"seed":1}'`);
	}
};

const settings = await yargs(hideBin(process.argv))
	.scriptName('filbertwell-standin-platform')
	.option('host', {type: 'string', default: '127.0.0.1', describe: 'Address to listen on'})
	.option('port', {type: 'number', default: 0, describe: 'Port to listen on; 0 picks a free port'})
	.option('faults', {type: 'string', describe: 'Faults that are active from the start, as JSON in the form of the body of POST /faults', coerce: parseFaults})
	.example('$0 --port 7400', 'Listen on 127.0.0.1:7400')
	.strict()
	.help()
	.parseAsync();

const standin = await createPlatformStandin({host: settings.host, port: settings.port});
if (settings.faults !== undefined) {
	standin.setFaults(settings.faults.faults, settings.faults.seed);
}

// The parent process reads the address from the first line of output.
console.log(JSON.stringify({listening: standin.address}));

// Closing the listener leaves no open handles, so the process exits.
const stop = () => {
	void standin.close();
};

process.once('SIGTERM', stop);
process.once('SIGINT', stop);
