#!/usr/bin/env node
/**
 * Entry point of `filbertwell-load`, the command line of the load generator.
 */
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runCommand} from './commands/run.js';

await yargs(hideBin(process.argv))
	.scriptName('filbertwell-load')
	.command(runCommand)
	.demandCommand(1, 'Name a command')
	.strict()
	.help()
	.parse();
