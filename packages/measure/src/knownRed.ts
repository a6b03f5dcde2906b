/**
 * The cases of KNOWN-RED.txt: tests and bounds that fail for a known fault.
 */
import {readFile} from 'node:fs/promises';

/**
 * Reads the known cases that concern experiments.
 *
 * @param file - KNOWN-RED.txt; absent counts as empty.
 * @returns Lines of the file that name an experiment.
 */
export const readKnownRed = async (file: URL): Promise<readonly string[]> => {
	try {
		const content = await readFile(file, 'utf8');
		return content.split('\n').filter(line => line.includes('--experiment '));
	} catch {
		return [];
	}
};

/**
 * Tells whether an experiment's miss is a known one.
 *
 * @param lines - Lines of `readKnownRed`.
 * @param experiment - Name of the experiment.
 * @returns Whether a line names the experiment's command.
 */
export const isKnownRed = (lines: readonly string[], experiment: string): boolean => lines
	.some(line => {
		const words = line.replaceAll(/[:,]/g, ' ').split(' ');
		return words.some((word, index) => word === experiment && words[index - 1] === '--experiment');
	});
