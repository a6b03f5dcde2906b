#!/usr/bin/env node
/**
 * Entry point of `filbertwell`, the command line for operators.
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
import {createFailure} from './commandFailure.js';
import {finishCommand} from './runCommand.js';

const exitCodeHelp = `Exit codes: ${Object.entries(exitCodes).map(([name, code]) => `${code} ${name}`).join(', ')}`;

for (const stream of [process.stdout, process.stderr]) {
	// Ignores write errors after the reader closed the pipe, as in `filbertwell history | head -1`; the exit code stays valid.
	stream.on('error', () => undefined);
}

/** Whether to print JSON; read before parsing, so that it also applies to errors in the arguments. */
const isJson = process.argv.includes('--json');

const parser = yargs(hideBin(process.argv))
	.scriptName('filbertwell')
	.usage('$0 <command>: manages how a deployment routes traffic')
	.option('settings', {
		type: 'string', default: 'filbertwell.ini', requiresArg: true, describe: 'Settings file (INI)',
	})
	.option('json', {type: 'boolean', default: false, describe: 'Print the result as one JSON document'})
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
	// Commands handle their own errors, so only errors in the arguments are caught here.
	const message = error instanceof Error ? error.message : String(error);
	finishCommand(createFailure('usage', `${message}; see filbertwell --help`), isJson);
}
