#!/usr/bin/env node
/**
 * `filbertwell`: the operators' command line.
 */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {applyCommand} from './commands/applyCommand.js';
import {checkCommand} from './commands/checkCommand.js';
import {diffCommand} from './commands/diffCommand.js';
import {drainCommand} from './commands/drainCommand.js';
import {explainCommand} from './commands/explainCommand.js';
import {historyCommand} from './commands/historyCommand.js';
import {rollbackCommand} from './commands/rollbackCommand.js';
import {shiftCommand} from './commands/shiftCommand.js';
import {statusCommand} from './commands/statusCommand.js';
import {traceCommand} from './commands/traceCommand.js';
import {undrainCommand} from './commands/undrainCommand.js';
import {exitCodes} from './exitCodes.js';
import {failed} from './commandFailure.js';
import {finishCommand} from './runCommand.js';

const exitCodeHelp = `Exit codes: ${Object.entries(exitCodes).map(([name, code]) => `${code} ${name}`).join(', ')}`;

for (const stream of [process.stdout, process.stderr]) {
	// The reader may have gone, as in `filbertwell history | head -1`; the exit code still tells the outcome.
	stream.on('error', () => undefined);
}

/** Whether programs read the output, also where the arguments can't be parsed. */
const isJson = process.argv.includes('--json');

const parser = yargs(hideBin(process.argv))
	.scriptName('filbertwell')
	.usage('$0 <command>: steers traffic by intent')
	.option('settings', {
		type: 'string', default: 'filbertwell.ini', requiresArg: true, describe: 'Settings file (INI)',
	})
	.option('json', {type: 'boolean', default: false, describe: 'Print one JSON document for programs'})
	.option('color', {type: 'boolean', default: process.env.NO_COLOR === undefined, describe: 'Use colours on a terminal'})
	.command(checkCommand)
	.command(diffCommand)
	.command(applyCommand)
	.command(statusCommand)
	.command(drainCommand)
	.command(undrainCommand)
	.command(shiftCommand)
	.command(historyCommand)
	.command(rollbackCommand)
	.command(explainCommand)
	.command(traceCommand)
	.demandCommand(1, 'name a command; filbertwell --help lists them')
	.strict()
	.epilogue(exitCodeHelp)
	.wrap(null)
	.help()
	.version(false)
	.exitProcess(false)
	.fail(false);

try {
	await parser.parseAsync();
} catch (error) {
	// Commands catch their own faults: what arrives here is about the arguments.
	const message = error instanceof Error ? error.message : String(error);
	finishCommand(failed('usage', `${message}; see filbertwell --help`), isJson);
}
